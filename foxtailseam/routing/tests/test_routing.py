"""Tests of route matching and weighted round robin."""

import random
from collections import Counter
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.routing import (
    AllShards,
    OneService,
    Route,
    RouteTable,
    WeightedRoundRobin,
    WeightedServices,
)


def route(name, host, prefix):
    second = timedelta(seconds=1)
    return Route(name, host, prefix, True, second, second, 2, 0, OneService("s"))


class TestRouteTable:
    TABLE = RouteTable(
        [
            route("root", "a.example", "/"),
            route("one", "a.example", "/one/"),
            route("two", "a.example", "/one/two/"),
            route("other", "b.example", "/one/"),
        ]
    )

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("a.example", "/one/two/x", "two"),
            ("a.example", "/one/two/", "two"),
            ("a.example", "/one/two", "one"),
            ("a.example", "/one", "root"),
            ("a.example", "/onetwo/x", "root"),
            ("A.Example:8080", "/one/x", "one"),
            ("b.example", "/one/two/x", "other"),
            ("b.example", "/", None),
            ("b.example", "/two/", None),
            ("c.example", "/one/", None),
            ("", "/one/", None),
        ],
    )
    def test_the_longest_prefix_matches(self, host, path, expected):
        found = self.TABLE.find(host, path)
        assert (found.name if found else None) == expected


class TestAllShards:
    @pytest.mark.parametrize(
        ("total", "share", "expected"),
        [(20, 0.89, 18), (20, 0.75, 15), (20, 1.0, 20), (20, 0.0, 1), (3, 0.5, 2)],
    )
    def test_min_shards(self, total, share, expected):
        shards = tuple(str(number) for number in range(total))
        assert AllShards(shards, 5, share).min_shards == expected

    @given(st.integers(1, 1200), st.floats(0, 1))
    def test_min_shards_is_the_smallest_sufficient_count(self, total, share):
        count = AllShards(("s",) * total, 5, share).min_shards
        assert count / total >= share - 1e-6
        assert count == 1 or (count - 1) / total < share


class TestWeightedRoundRobin:
    @given(
        st.lists(st.integers(0, 9), min_size=1, max_size=5).filter(any),
        st.integers(0, 2**32),
    )
    def test_each_service_is_near_its_share_at_any_time(self, weights, seed):
        service_weights = tuple((f"s{i}", float(w)) for i, w in enumerate(weights))
        round_robin = WeightedRoundRobin(
            WeightedServices(service_weights), random.Random(seed)
        )
        counts = Counter()
        for number in range(1, 60):
            counts[round_robin.next()] += 1
            for service, weight in service_weights:
                share = weight / sum(weights)
                assert abs(counts[service] - share * number) <= 2.0

    def test_returns_none_without_a_positive_weight(self):
        round_robin = WeightedRoundRobin(
            WeightedServices((("a", 0.0),)), random.Random(1)
        )
        assert round_robin.next() is None

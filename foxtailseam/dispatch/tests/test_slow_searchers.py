"""Tests of when a searcher that hosts agree to be slow is used."""

import pytest

from foxtailseam.conditions import SearcherConditions, Slowness, SlownessReport
from foxtailseam.dispatch import ServiceAnswer, SingleQuery
from foxtailseam.dispatch._searcher_selection import Candidate, choose_searcher
from foxtailseam.dispatch._slowness_detector import PartTiming
from foxtailseam.dispatch.tests._stubs import (
    STAMP_HEADER,
    StubService,
    make_plan,
    make_route,
    make_times,
)
from foxtailseam.locality import EXCLUSION_COST_SECONDS
from foxtailseam.rate_limits import HostGroup
from foxtailseam_bench.simulation import VirtualTime

MEDIAN_SECONDS = 0.05


def service_with_a_slow_searcher(time):
    """Return a service with searchers a-0 and a-1; hosts agree that a-1 is slow."""
    service = StubService(time, searchers=2)
    gates = service.dispatcher.gates
    gates.conditions.failure_domains = 2
    gates.conditions.count_searchers = lambda: 100
    now = time.monotonic()
    reports = tuple(
        SlownessReport(now, 10.0, f"10.0.0.{number}:80", f"d{number}")
        for number in (1, 2)
    )
    slow = service.entries["a-1"]
    conditions = SearcherConditions(
        slow.started_ms, slowness=Slowness.from_reports(reports)
    )
    assert gates.conditions.record("a-1", conditions)
    (searcher,) = [
        item for item in service.dispatcher.searchers if item.identifier == "a-1"
    ]
    gates.update(searcher)
    return service


def query_with_a_slow_part(service, seconds=0.2):
    """Record the parts of a query in which a-1 took long."""
    usual = [PartTiming(f"b-{number}", "d1", 0.02, True) for number in range(10)]
    slow = PartTiming("a-1", "d1", seconds, True)
    service.dispatcher.gates.record_part_timings([*usual, slow])


class TestPauses:
    # Guards against: each searcher that pauses for a moment is reported to all hosts,
    # which then send their requests to other failure domains.
    def test_a_single_slow_response_is_not_reported(self):
        time = VirtualTime()
        service = StubService(time, searchers=2)
        gates = service.dispatcher.gates
        gates.set_hosts(HostGroup("10.0.0.1:80", frozenset({"10.0.0.1:80", "b"})))
        gates.conditions.count_searchers = lambda: 100
        entry = service.entries["a-1"]
        query_with_a_slow_part(service)
        time.run_until(0.1)
        query_with_a_slow_part(service)
        assert gates.conditions.get("a-1", entry.started_ms) is None
        time.run_until(0.2)
        query_with_a_slow_part(service, seconds=0.02)
        time.run_until(0.8)
        query_with_a_slow_part(service)
        assert gates.conditions.get("a-1", entry.started_ms) is None
        time.run_until(1.4)
        query_with_a_slow_part(service)
        assert gates.conditions.get("a-1", entry.started_ms) is not None


class TestSearcherThatIsLeftOut:
    def test_another_one_is_asked_first(self):
        time, results = VirtualTime(), []
        service = service_with_a_slow_searcher(time)
        start(service, results)
        assert len(service.pools["a-0"].exchanges) == 1
        assert service.pools["a-1"].exchanges == []

    # Guards against: the only other searcher fails a request, and it fails although
    # the slow one could serve it.
    @pytest.mark.parametrize("status", [500, 503])
    def test_it_is_asked_after_the_only_other_one_has_failed(self, status):
        time, results = VirtualTime(), []
        service = service_with_a_slow_searcher(time)
        start(service, results)
        service.pools["a-0"].exchanges[0].answer(status, (STAMP_HEADER, b"s"))
        time.run_until(0.05)
        assert len(service.pools["a-1"].exchanges) == 1
        service.pools["a-1"].exchanges[0].answer(200, (STAMP_HEADER, b"s"))
        assert isinstance(results[0], ServiceAnswer)
        assert results[0].response.status == 200


class TestSearchersOfOneExcludedSide:
    # Guards against: the cost that excludes them all hides how they differ.
    @pytest.mark.parametrize("draw", [0.0, 0.5, 0.99])
    def test_the_best_of_them_is_chosen(self, draw):
        cost = EXCLUSION_COST_SECONDS
        candidates = [
            Candidate("slow", slowness=20.0, distance_cost=cost),
            Candidate("fast", distance_cost=cost),
            Candidate("failing", failure_share=0.9, distance_cost=cost),
        ]
        chosen = choose_searcher(candidates, MEDIAN_SECONDS, draw)
        assert chosen.identifier == "fast"


def start(service, results):
    plan = make_plan(make_route(idempotent=True, max_attempts=2))
    query = SingleQuery(service.dispatcher, plan, make_times(), results.append)
    query.start()

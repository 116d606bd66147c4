"""Load tests of searchers that name a limit of requests, in virtual time."""

import random

import pytest

from foxtailseam.front.tests._load import exchange_notices, first_by_host
from foxtailseam_bench.simulation import (
    simulated_hosts,
    simulated_service,
    tier_number,
)

# The limit binds the sum over the hosts that have known it for KNOWN_SECONDS, in any
# WINDOW that ends STABLE_SECONDS after the first answer that named it, or later.
WINDOW = 4.0
STABLE_SECONDS = 4.0
KNOWN_SECONDS = 0.5
# Requests in a window beyond which the limit is broken, as a factor of what it allows
# and a number added to it.
FACTOR = 1.5
ADDED = 5


def max_requests(searcher, until=float("inf")):
    """Return the largest number of requests in a window that the limit counts.

    The searcher names its limit `until` that time, in seconds.
    """
    known_at = first_by_host(searcher.limit_answers)
    if not known_at:
        return 0
    first_end = min(known_at.values()) + STABLE_SECONDS
    counted = [
        at
        for at, identifier in searcher.arrivals
        if at >= known_at.get(tier_number(identifier), float("inf")) + KNOWN_SECONDS
    ]
    return max(
        (
            sum(end - WINDOW < at <= end for at in counted)
            for end in counted
            if first_end <= end < until
        ),
        default=0,
    )


def allowed_requests(limit):
    return FACTOR * limit * WINDOW + ADDED


class TestSearcherLimit:
    """A limit binds the sum of all hosts, which decide each for itself."""

    def serve(self, hosts, limit):
        """Return four searchers, limited after 5 s, and the answers in the goal."""
        with simulated_service(hosts, 8, 0.17, 600) as tiers:
            searchers = tiers[0].searchers["records"]
            for number, tier in enumerate(tiers):
                tier.load("/read/q", 24 / hosts, number / 24, 30)
            tiers[0].time.run_until(5)
            for searcher in searchers[:4]:
                searcher.rate_limit = limit
            tiers[0].time.run_until(32)
        answers = [call for tier in tiers for call in tier.answered()]
        in_goal = sum(c.response.status == 200 and c.seconds < 0.6 for c in answers)
        return searchers[:4], in_goal

    @pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 2.5, 10.0])
    @pytest.mark.parametrize("hosts", [1, 6, 59])
    def test_searchers_get_no_more_requests_than_they_name(self, hosts, limit):
        limited, in_goal = self.serve(hosts, limit)
        assert max(map(max_requests, limited)) <= allowed_requests(limit)
        # The other searchers can serve all requests.
        _, in_goal_without_limit = self.serve(hosts, None)
        assert in_goal >= 0.95 * in_goal_without_limit

    @pytest.mark.parametrize("hosts", [6, 59])
    def test_limit_of_both_searchers_of_a_shard_leaves_the_shard_out(self, hosts):
        with simulated_hosts(hosts, 0.011, 92) as tiers:
            limited = tiers[0].searchers["shard3"]
            for searcher in limited:
                searcher.rate_limit = 1.0
            for number, tier in enumerate(tiers):
                tier.load("/urgent/q", 24 / hosts, number / 24, 20)
            tiers[0].time.run_until(22)
        assert max(map(max_requests, limited)) <= allowed_requests(1.0)
        late = [c for tier in tiers for c in tier.answered() if c.sent_at > 5]
        assert all(c.response.status == 200 and c.missing_shards <= 1 for c in late)
        assert sum(c.seconds < 0.086 for c in late) >= 0.95 * len(late)

    def test_requests_that_no_searcher_takes_are_refused_at_once(self):
        with simulated_service(6, 4, 0.17, 600) as tiers:
            searchers = tiers[0].searchers["records"]
            for searcher in searchers:
                searcher.rate_limit = 2.0
            for number, tier in enumerate(tiers):
                tier.load("/read/q", 4, 0.01 * number, 20)
            tiers[0].time.run_until(25)
        assert max(map(max_requests, searchers)) <= allowed_requests(2.0)
        ran = {identifier for searcher in searchers for identifier in searcher.runs}
        late = [c for tier in tiers for c in tier.answered() if c.sent_at > 5]
        refused = [c for c in late if c.response.status == 503]
        served = [c for c in late if c.response.status == 200]
        assert len(served) + len(refused) == len(late)
        # Of 8 requests a second that the searchers take together.
        assert len(served) >= 0.5 * 8 * 15
        for call in refused:
            headers = dict(call.response.headers)
            assert call.seconds < 0.05
            assert headers[b"Foxtailseam-Request-Id"] not in ran
            assert 0 < float(headers[b"Retry-After"]) <= 2.0

    def test_retry_after_is_the_time_until_a_searcher_takes_a_request(self):
        with simulated_service(1, 2, 0.1, 600) as tiers:
            (tier,) = tiers
            for searcher in tier.searchers["records"]:
                searcher.rate_limit = 0.1
            tier.load("/read/q", 10, 0, 5)
            tier.time.run_until(6)
        refused = [c for c in tier.answered() if c.response.status == 503]
        delays = [float(dict(c.response.headers)[b"Retry-After"]) for c in refused]
        assert refused
        # Each of both searchers takes a request in ten seconds.
        assert 2.0 < max(delays) <= 10.0

    def test_waiting_requests_are_not_kept_for_a_searcher_that_becomes_limited(self):
        with simulated_service(1, 2, 0.5, 2_000) as tiers:
            (tier,) = tiers
            for searcher in tier.searchers["records"]:
                searcher.rate_limit = 0.5
            tier.load("/read/q", 60, 0, 0.2)
            tier.time.run_until(6)
            searchers = tier.searchers["records"]
        assert max(map(max_requests, searchers)) <= allowed_requests(0.5)
        waited = [c for c in tier.answered() if c.answered_at > 0.3]
        assert {call.response.status for call in waited} == {200, 503}
        # The first answers, which name the limit, take 0.3 to 0.7 s.
        assert max(call.answered_at for call in waited) < 1.5

    def test_a_searcher_is_used_as_before_once_its_limit_is_gone(self):
        with simulated_service(6, 4, 0.1, 600) as tiers:
            searchers = tiers[0].searchers["records"]
            limited = searchers[0]
            for number, tier in enumerate(tiers):
                tier.load("/read/q", 4, 0.01 * number, 60)
            limited.rate_limit = 1.0
            tiers[0].time.run_until(10)
            limited.rate_limit = None
            tiers[0].time.run_until(61)
        last = [at for at, _ in limited.arrivals if 45 < at <= 60]
        everywhere = sum(45 < at <= 60 for s in searchers for at, _ in s.arrivals)
        assert len(last) >= 0.5 * everywhere / len(searchers)

    @pytest.mark.parametrize("hosts", [6, 59])
    def test_hosts_that_do_not_ask_a_searcher_hear_that_its_limit_is_gone(self, hosts):
        with simulated_hosts(hosts, 0.011, 92) as tiers:
            limited = tiers[0].searchers["shard3"]
            exchange_notices(tiers, random.Random(1))
            for searcher in limited:
                searcher.rate_limit = 1.0
            for number, tier in enumerate(tiers):
                tier.load("/urgent/q", 48 / hosts, number / 48, 40)
            tiers[0].time.run_until(15)
            for searcher in limited:
                searcher.rate_limit = None
            tiers[0].time.run_until(41)
        counts = [max_requests(searcher, until=15) for searcher in limited]
        assert max(counts) <= allowed_requests(1.0)
        answers = [call for tier in tiers for call in tier.answered()]
        while_limited = [c for c in answers if 8 < c.sent_at < 15]
        # 15 s after the last answer that named the limit.
        after = [c for c in answers if c.sent_at > 30]
        assert sum(c.missing_shards for c in while_limited) >= 0.8 * len(while_limited)
        assert sum(c.missing_shards for c in after) <= 0.05 * len(after)

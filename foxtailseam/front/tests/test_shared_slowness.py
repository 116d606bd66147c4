"""Load tests of slow searchers of which hosts tell one another, in virtual time."""

import random

import pytest

from foxtailseam.conditions import SearcherConditions, Slowness, SlownessReport
from foxtailseam.conditions._slowness import REPORT_SECONDS
from foxtailseam.dispatch._slowness import RETURN_SECONDS
from foxtailseam_bench.shared_slowness import (
    FAILURE_DOMAINS,
    GOAL_MS,
    HOST_RATE,
    SERVICE_SECONDS,
    join_by_gossip,
    score,
)
from foxtailseam_bench.simulation import simulated_hosts

SHARDS = 20
SLOW_FROM = 8.0
FACTOR = 10.0


class Load:
    """Hosts with few queries each, whose searchers become slow at `SLOW_FROM`."""

    def __init__(self, tiers, rate=HOST_RATE, seed=1, shares=True):
        self.tiers = tiers
        self.time = tiers[0].time
        self.rate = rate
        self.generator = random.Random(seed)
        self.searchers = [item for pair in tiers[0].searchers.values() for item in pair]
        if shares:
            self.fleet = join_by_gossip(tiers, seed)
        else:
            for tier in tiers:
                tier.dispatcher.gates.record_part_timings = lambda parts: None
        self.sent_until = 0.0

    def run_until(self, end):
        total = self.rate * len(self.tiers)
        while self.sent_until < end:
            self.sent_until += self.generator.expovariate(total)
            delay = self.sent_until - self.time.monotonic()
            tier = self.generator.choice(self.tiers)
            self.time.call_later(delay, tier.send, "/urgent/q")
        self.time.run_until(end)

    def slow_down(self, searchers, factor=FACTOR):
        for searcher in searchers:
            searcher.slowness = factor

    def score(self, start, end):
        """Return the score of the calls sent in a time, once all are answered."""
        self.time.run_until(max(self.time.monotonic(), end + 1.5))
        calls = [call for tier in self.tiers for call in tier.calls]
        return score([c for c in calls if start <= c.sent_at < end], SHARDS)

    def arrivals(self, searchers, start, end):
        return sum(start <= at < end for item in searchers for at, _ in item.arrivals)

    def estimated(self):
        """Return the numbers of searchers that each host estimates to be slow."""
        now = self.time.monotonic()
        return [
            sum(
                item.gate.slowness is not None and item.gate.slowness.is_slow(now)
                for item in tier.dispatcher.gates.gated
            )
            for tier in self.tiers
        ]


def hosts(count, seed=1):
    return simulated_hosts(
        count, SERVICE_SECONDS, GOAL_MS, SHARDS, seed, FAILURE_DOMAINS
    )


class TestSlowSearchers:
    # Guards against: each host learns at a caller's cost that a searcher is slow.
    @pytest.mark.parametrize("count", [73, 195])
    def test_callers_hardly_notice_slow_searchers(self, count):
        with hosts(count) as tiers:
            load = Load(tiers)
            load.run_until(SLOW_FROM)
            slow = load.searchers[::7]
            load.slow_down(slow)
            load.run_until(SLOW_FROM + 8.0)
        start, end = SLOW_FROM + 2.0, SLOW_FROM + 8.0
        assert load.score(start, end) >= 0.95
        share = load.arrivals(slow, start, end) / load.arrivals(
            load.searchers, start, end
        )
        assert share <= 0.06

    @pytest.mark.parametrize("count", [1, 6])
    def test_few_hosts_are_served_as_well_as_without_notices(self, count):
        scores = []
        for shares in (False, True):
            with hosts(count) as tiers:
                load = Load(tiers, rate=20.0 / count, shares=shares)
                load.run_until(SLOW_FROM)
                load.slow_down(load.searchers[::7])
                load.run_until(SLOW_FROM + 6.0)
            scores.append(load.score(SLOW_FROM, SLOW_FROM + 6.0))
        assert scores[1] >= scores[0] - 0.005

    # Guards against: a notice as a reason to send more.
    def test_no_more_requests_are_sent_than_without_notices(self):
        sent = []
        for shares in (False, True):
            with hosts(24) as tiers:
                load = Load(tiers, shares=shares)
                load.run_until(SLOW_FROM)
                load.slow_down(load.searchers[::7])
                load.run_until(SLOW_FROM + 6.0)
            sent.append(load.arrivals(load.searchers, SLOW_FROM, SLOW_FROM + 6.0))
        assert sent[1] <= 1.01 * sent[0]

    def test_a_third_of_the_searchers_is_slow_at_once(self):
        scores = []
        for shares in (False, True):
            with hosts(73) as tiers:
                load = Load(tiers, shares=shares)
                load.run_until(SLOW_FROM)
                # One of the two searchers of two shards in three.
                load.slow_down(load.searchers[::3])
                load.run_until(SLOW_FROM + 6.0)
            scores.append(load.score(SLOW_FROM, SLOW_FROM + 6.0))
        assert scores[1] >= scores[0] + 0.1

    # Guards against: searchers that answer nothing are called by each host in turn.
    def test_searchers_that_stop_answering(self):
        scores = []
        for shares in (False, True):
            with hosts(24) as tiers:
                load = Load(tiers, shares=shares)
                load.run_until(SLOW_FROM)
                for searcher in load.searchers[::7]:
                    searcher.is_unresponsive = True
                load.run_until(SLOW_FROM + 8.0)
            scores.append(load.score(SLOW_FROM, SLOW_FROM + 8.0))
        assert scores[1] >= scores[0]

    def test_both_searchers_of_a_shard_are_slow(self):
        with hosts(24) as tiers:
            load = Load(tiers)
            load.run_until(SLOW_FROM)
            load.slow_down(load.searchers[:2])
            load.run_until(SLOW_FROM + 8.0)
        # The shard is missing at worst, and no queue builds up at its searchers.
        assert load.score(SLOW_FROM + 1.0, SLOW_FROM + 8.0) >= 1 - 1.1 / SHARDS
        assert sum(item.sheds for item in load.searchers) == 0


class TestRecovery:
    # Guards against: a stampede when a searcher is fast again, or that it is missed.
    @pytest.mark.parametrize("count", [24, 73])
    def test_hosts_find_out_and_return_one_after_the_other(self, count):
        with hosts(count) as tiers:
            load = Load(tiers)
            load.run_until(SLOW_FROM)
            slow = load.searchers[:6]
            load.slow_down(slow)
            load.run_until(SLOW_FROM + 6.0)
            back = SLOW_FROM + 6.0
            load.slow_down(slow, 1.0)
            load.run_until(back + 18.0)
        usual = load.arrivals(slow, SLOW_FROM - 6.0, SLOW_FROM) / 6.0
        for step in range(36):
            at = back + 0.5 * step
            assert load.arrivals(slow, at, at + 0.5) <= 2.0 * 0.5 * usual + 6
        late = load.arrivals(slow, back + 12.0, back + 18.0) / 6.0
        assert late >= 0.7 * usual
        assert load.score(back + 2.0, back + 18.0) >= 0.99

    def test_searchers_that_flap_every_second(self):
        with hosts(73) as tiers:
            load = Load(tiers)
            load.run_until(SLOW_FROM)
            slow = load.searchers[::7]
            for second in range(8):
                load.slow_down(slow, 1.0 if second % 2 else FACTOR)
                load.run_until(SLOW_FROM + second + 1.0)
            load.slow_down(slow, 1.0)
            load.run_until(SLOW_FROM + 8.0 + REPORT_SECONDS + 2 * RETURN_SECONDS)
        assert load.score(SLOW_FROM, SLOW_FROM + 8.0) >= 0.9
        assert sum(load.estimated()) == 0

    # Guards against: a searcher that replaces a slow one is avoided like it.
    def test_another_run_at_the_address_is_used_at_once(self):
        with hosts(24) as tiers:
            load = Load(tiers)
            load.run_until(SLOW_FROM)
            slow = load.searchers[0]
            load.slow_down([slow])
            load.run_until(SLOW_FROM + 4.0)
            load.slow_down([slow], 1.0)
            for tier in tiers:
                tier.publish("shard0", 0, started_ms=1)
            assert sum(load.estimated()) == 0
            load.run_until(SLOW_FROM + 8.0)
        used = load.arrivals([slow], SLOW_FROM + 4.0, SLOW_FROM + 8.0)
        before = load.arrivals([slow], 4.0, 8.0)
        assert used >= 0.5 * before


class TestFalseReports:
    # Guards against: a host with a full link reports the searchers behind it.
    def test_a_host_with_a_slow_link_reports_nobody(self):
        with hosts(6) as tiers:
            load = Load(tiers, rate=2.0)
            load.run_until(4.0)
            tiers[0].link.call_seconds = 0.004
            load.run_until(12.0)
        assert load.estimated() == [0] * 6

    def test_a_failure_domain_that_is_slow_as_a_whole_is_not_reported(self):
        with hosts(24) as tiers:
            load = Load(tiers)
            load.run_until(SLOW_FROM)
            # The first searcher of each shard is in one domain.
            load.slow_down(load.searchers[::2], 5.0)
            load.run_until(SLOW_FROM + 6.0)
        assert max(load.estimated()) <= 0.1 * len(load.searchers)

    def test_one_host_that_reports_all_changes_little(self):
        with hosts(24) as tiers:
            load = Load(tiers)
            load.run_until(SLOW_FROM)
            faulty_host = tiers[0].dispatcher.gates
            for _ in range(6):
                now = load.time.monotonic()
                for searcher in tiers[0].dispatcher.searchers:
                    report = SlownessReport(now, 20.0, "host-0", "d1")
                    faulty_host.conditions.record(
                        searcher.entry.identifier,
                        SearcherConditions(
                            0, slowness=Slowness.from_reports((report,))
                        ),
                    )
                load.run_until(now + 1.0)
            for tier in tiers[1:]:
                for searcher in tier.dispatcher.searchers:
                    gate = searcher.gate
                    assert gate is None or not gate.is_slow(load.time.monotonic())
        assert sum(load.estimated()) == 0
        assert load.score(SLOW_FROM, SLOW_FROM + 6.0) >= 0.98

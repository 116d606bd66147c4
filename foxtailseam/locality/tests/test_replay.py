"""Replays of loads on hosts in three failure domains, with a searcher in each.

The bounds of bytes lie between what hosts with the constant price send and what hosts
that keep shares do.
"""

import functools
from dataclasses import replace

import pytest

from foxtailseam_bench.simulation import SpilloverLoad, SpilloverReplay

# One domain offers 4.4 times its usual traffic, twice what its searcher can run. All
# three together can run it.
BURST = SpilloverLoad(burst=4.4, burst_start=4.0, burst_end=20.0, end=26.0)
# All three domains offer more than their searchers can run.
ALL_FULL = replace(BURST, burst=2.6, burst_domains=3)
SETTLED, BURST_END = 10, 20
# Bytes between failure domains for each second of the burst, and of the seconds 2 to 6
# after it.
MAX_BYTES = 56_000
MAX_BYTES_ALL_FULL = 65_000
MAX_BYTES_AFTER = 11_000


@functools.cache
def play(load, is_deciding=True, old_hosts=0):
    replay = SpilloverReplay(load, is_deciding, old_hosts)
    replay.run()
    return replay


def bytes_in_burst(replay):
    return replay.far_rate(SETTLED, BURST_END)


def bytes_after(replay):
    return replay.far_rate(BURST_END + 2, BURST_END + 6)


class TestCalm:
    """Guards against a change for deployments whose services are calm."""

    @pytest.mark.parametrize("crossing_seconds", [0.0009, 0.0034])
    def test_the_same_searchers_are_asked_as_with_the_constant(self, crossing_seconds):
        load = SpilloverLoad(burst=1.0, end=12.0, crossing_seconds=crossing_seconds)
        replays = [play(load, is_deciding) for is_deciding in (False, True)]
        first, second = (
            [searcher.arrivals for searcher in replay.searchers] for replay in replays
        )
        assert first == second
        assert replays[1].notice_count == 0


class TestHerd:
    """Guards against hosts that leave, and come back, all together."""

    @pytest.mark.parametrize("hosts", [75, 86])
    def test_fewer_bytes_cross_and_answers_are_as_good(self, hosts):
        load = replace(BURST, hosts=hosts)
        before, after = play(load, is_deciding=False), play(load)
        assert bytes_in_burst(after) <= MAX_BYTES
        in_time = [item.result(SETTLED, BURST_END).in_time for item in (before, after)]
        assert in_time[1] >= in_time[0] - 0.01

    @pytest.mark.parametrize("hosts", [75, 86])
    def test_traffic_returns_home_after_the_burst(self, hosts):
        assert bytes_after(play(replace(BURST, hosts=hosts))) <= MAX_BYTES_AFTER

    def test_hosts_whose_domain_has_capacity_answer_more_in_time(self):
        before, after = play(BURST, is_deciding=False), play(BURST)
        in_time = [
            item.result(SETTLED, BURST_END, "d2").in_time for item in (before, after)
        ]
        assert in_time[1] > in_time[0]


class TestAllFull:
    def test_full_domains_hardly_exchange_load(self):
        replay = play(ALL_FULL)
        assert bytes_in_burst(replay) <= MAX_BYTES_ALL_FULL
        assert bytes_after(replay) <= MAX_BYTES_AFTER

    def test_the_shares_of_all_hosts_are_low_in_the_end(self):
        shares = play(ALL_FULL).shares[BURST_END - 1]
        assert sorted(shares) == ["d1", "d2", "d3"]
        for kept in shares.values():
            assert sum(kept) / len(kept) < 0.2


class TestFailures:
    def test_gossip_in_two_halves_changes_little(self):
        replay = SpilloverReplay(BURST)
        # Both halves have hosts of each domain.
        replay.is_connected = lambda sender, receiver: (
            (sender // 3) % 2 == (receiver // 3) % 2
        )
        replay.run()
        assert bytes_in_burst(replay) <= MAX_BYTES

    def test_hosts_without_any_gossip_decide_alone(self):
        replay = SpilloverReplay(ALL_FULL)
        replay.is_connected = lambda sender, receiver: False
        replay.run()
        assert bytes_in_burst(replay) <= MAX_BYTES_ALL_FULL

    def test_hosts_of_the_previous_release_are_served_as_before(self):
        old_hosts = 37
        mixed, before = play(BURST, True, old_hosts), play(BURST, is_deciding=False)
        assert bytes_in_burst(mixed) <= bytes_in_burst(before)
        in_time = [item.result(SETTLED, BURST_END).in_time for item in (before, mixed)]
        assert in_time[1] >= in_time[0] - 0.01

    def test_relief_that_ends_is_no_longer_sought(self):
        replay = SpilloverReplay(BURST)
        slowed = replay.searchers[1]
        replay.time.call_later(12.0, setattr, slowed, "slowness", 4.0)
        replay.time.call_later(BURST_END, setattr, slowed, "slowness", 1.0)
        replay.run()
        shares = replay.shares[BURST_END - 1]["d1"]
        assert sum(shares) / len(shares) < 0.5
        assert bytes_after(replay) <= MAX_BYTES_AFTER


class TestSlowLinks:
    def test_requests_that_would_take_longer_elsewhere_stay(self):
        load = replace(BURST, burst=2.6, crossing_seconds=0.04)
        before, after = play(load, is_deciding=False), play(load)
        assert bytes_in_burst(after) < bytes_in_burst(before)
        in_time = [item.result(SETTLED, BURST_END).in_time for item in (before, after)]
        assert in_time[1] >= in_time[0] - 0.01

"""Tests of a host's part of the limit of a searcher."""

import random

import pytest

from foxtailseam.rate_limits import HostGroup, RateShare, RequestPacer

WINDOW = 4.0


def addresses(count):
    return frozenset(
        f"10.0.{number // 250}.{number % 250}:7000" for number in range(count)
    )


def requests_in_window(share):
    """Return how many requests a host may send in a window, at worst."""
    return share.burst + WINDOW / share.interval


def allowed_requests(limit):
    return 1.5 * limit * WINDOW + 5


class TestHostGroup:
    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 1.1, 2.0, 7.5, 40.0])
    @pytest.mark.parametrize("hosts", [1, 4, 6, 59, 91])
    def test_parts_add_up_to_the_limit_with_any_number_of_hosts(self, hosts, limit):
        group = addresses(hosts)
        shares = [HostGroup(host, group).rate_share("i-1", limit) for host in group]
        senders = [share for share in shares if share.is_sender]
        others = [share for share in shares if not share.is_sender]
        assert sum(1 / share.interval for share in senders) <= limit * 1.001
        probes = sum(WINDOW / share.interval for share in others)
        assert sum(map(requests_in_window, senders)) + probes <= allowed_requests(limit)
        assert probes <= 0.5 * 1.001

    @pytest.mark.parametrize("limit", [1.0, 2.5, 10.0])
    def test_hosts_that_do_not_know_one_another_stay_within_the_limit(self, limit):
        members = sorted(addresses(59))
        total = 0.0
        for number, host in enumerate(members):
            # Each host lacks one other host in its view.
            unknown = members[(number + 1) % len(members)]
            view = frozenset(members) - {unknown}
            share = HostGroup(host, view).rate_share("i-1", limit)
            if share.is_sender:
                total += requests_in_window(share)
        assert total + 0.5 <= allowed_requests(limit)

    def test_a_large_fleet_asks_no_more_often_than_a_small_one(self):
        group = addresses(6_700)
        shares = [
            HostGroup(host, group).rate_share("i-1", 2.0) for host in sorted(group)[:50]
        ]
        others = [share for share in shares if not share.is_sender]
        assert len(others) >= 47
        assert all(WINDOW / share.interval * 6_700 <= 0.51 for share in others)

    def test_a_host_that_knows_no_other_takes_a_part_only(self):
        share = HostGroup("a", frozenset({"a"})).rate_share("i-1", 8.0)
        assert share.interval >= 4 / 8.0

    def test_searchers_are_used_by_different_hosts(self):
        group = addresses(59)
        users = {
            host
            for host in group
            for number in range(30)
            if HostGroup(host, group).rate_share(f"i-{number}", 1.0).is_sender
        }
        assert len(users) >= 25


class TestRequestPacer:
    SHARE = RateShare(interval=2.0, burst=1.5, is_sender=True)

    def test_requests_are_an_interval_apart(self):
        pacer = RequestPacer(self.SHARE, 0.0, 0.25)
        assert pacer.wait(0.0) == pytest.approx(1.5)
        assert pacer.wait(1.5) == pytest.approx(0.0)
        pacer.take(1.5)
        assert pacer.wait(1.5) == pytest.approx(2.0)

    def test_an_idle_host_saves_up_no_more_than_its_burst(self):
        pacer = RequestPacer(self.SHARE, 0.0, 0.0)
        assert pacer.wait(100.0) == 0.0
        pacer.take(100.0)
        assert pacer.wait(100.0) == pytest.approx(1.0)

    def test_a_smaller_part_does_not_keep_what_was_saved_up(self):
        pacer = RequestPacer(RateShare(0.1, 5.0, True), 0.0, 5.0)
        pacer.set_share(RateShare(48.0, 1.0, False), 0.0)
        pacer.take(0.0)
        assert pacer.wait(0.0) == pytest.approx(48.0)

    def test_no_window_holds_more_than_the_part_allows(self):
        generator = random.Random(1)
        pacer = RequestPacer(self.SHARE, 0.0, generator.random())
        now, sent = 0.0, []
        while now < 300:
            now += generator.expovariate(5.0)
            if not pacer.wait(now):
                pacer.take(now)
                sent.append(now)
        most = max(sum(at <= x < at + WINDOW for x in sent) for at in sent)
        assert most <= requests_in_window(self.SHARE)

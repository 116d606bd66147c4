"""Tests of the reports of slow searchers that hosts exchange, and of the estimates."""

import random
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.conditions import (
    ConditionNotices,
    ConditionRegistry,
    SearcherConditions,
    Slowness,
    SlownessReport,
)
from foxtailseam.conditions._registry import MAX_NOTICES
from foxtailseam.conditions._slowness import MAX_REPORTS, REPORT_SECONDS
from foxtailseam.conditions._slowness_spread import (
    FEW_NOTICES,
    MAX_SENDS,
    NOTICES_PER_SECOND,
)


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(timedelta(seconds=100))
    return clock


def registry(clock):
    return ConditionRegistry(clock, random.Random(1))


def report(registry, host, searcher="i-1", domain="d1", factor=8.0, started_ms=7):
    report = SlownessReport(registry.clock.monotonic(), factor, host, domain)
    slowness = Slowness.from_reports((report,))
    registry.record(searcher, SearcherConditions(started_ms, slowness=slowness))


def estimate(registry, searcher="i-1", started_ms=7):
    known = registry.get(searcher, started_ms)
    if known is None:
        return None
    return registry.estimate(known.slowness, registry.clock.monotonic())


class TestEstimate:
    def test_hosts_of_two_domains_have_to_agree(self, clock):
        host = registry(clock)
        host.failure_domains = 3
        report(host, "a")
        assert estimate(host).factor == 8.0
        assert not estimate(host).is_confirmed
        report(host, "b")
        assert not estimate(host).is_confirmed
        report(host, "c", domain="d2")
        assert estimate(host).is_confirmed

    def test_in_one_domain_two_hosts_are_enough(self, clock):
        host = registry(clock)
        report(host, "a")
        assert not estimate(host).is_confirmed
        report(host, "b")
        assert estimate(host).is_confirmed

    def test_a_report_that_it_is_fast_cancels_older_reports_only(self, clock):
        host = registry(clock)
        report(host, "a")
        clock.advance(timedelta(seconds=1))
        report(host, "b", factor=1.0)
        assert estimate(host).factor == 1.0
        clock.advance(timedelta(seconds=1))
        report(host, "c", factor=5.0)
        assert estimate(host).reporters == ("c",)

    def test_a_report_expires(self, clock):
        host = registry(clock)
        report(host, "a")
        clock.advance(timedelta(seconds=REPORT_SECONDS + 0.1))
        assert estimate(host) is None

    # Guards against: a searcher replaced at an address is avoided for its predecessor.
    def test_another_run_is_not_reported(self, clock):
        host = registry(clock)
        report(host, "a")
        assert estimate(host, started_ms=8) is None

    # Guards against: one host with a fault of its own empties the searchers.
    def test_a_host_that_reports_all_is_not_estimated(self, clock):
        host = registry(clock)
        host.count_searchers = lambda: 20
        ignored = []
        host.on_host_ignored = ignored.append
        for number in range(20):
            report(host, "faulty_host", f"i-{number}")
        report(host, "other", "i-3")
        assert ignored == ["faulty_host"]
        assert estimate(host, "i-0").factor == 1.0
        assert estimate(host, "i-3").reporters == ("other",)
        clock.advance(timedelta(seconds=REPORT_SECONDS + 1))
        host.notices()
        report(host, "faulty_host")
        assert estimate(host).reporters == ("faulty_host",)


class TestNotices:
    def test_a_host_that_found_no_slow_searcher_sends_nothing(self, clock):
        assert registry(clock).notices() == ConditionNotices()

    def test_other_hosts_learn_and_news_is_reported_once(self, clock):
        first, second = registry(clock), registry(clock)
        news = []
        second.on_slowness_change = lambda: news.append(1)
        report(first, "a")
        for _ in range(3):
            second.merge(first.notices())
        assert estimate(second).factor == 8.0
        assert news == [1]

    # Guards against: two hosts keep an report alive by repeating it.
    def test_a_report_does_not_get_younger_by_going_round(self, clock):
        first, second = registry(clock), registry(clock)
        report(first, "a")
        for _ in range(int(REPORT_SECONDS / 0.2) + 1):
            for sender, receiver in ((first, second), (second, first)):
                notices = sender.notices(is_complete=True)
                clock.advance(timedelta(milliseconds=90))
                receiver.merge(notices)
        clock.advance(timedelta(milliseconds=700))
        assert estimate(first) is None
        assert estimate(second) is None

    def test_a_notice_is_passed_on_a_few_times_and_again_after_a_change(self, clock):
        host = registry(clock)
        for number in range(FEW_NOTICES + 1):
            report(host, "a", f"i-{number}")
        sent = 0
        for _ in range(3 * MAX_SENDS):
            sent += len(host.notices().slowness)
            clock.advance(timedelta(milliseconds=100))
        assert 0 < sent <= MAX_SENDS * (FEW_NOTICES + 1)
        assert host.notices().slowness == ()
        report(host, "b", "i-3")
        assert [item.searcher for item in host.notices().slowness] == ["i-3"]

    # Guards against: a host that misses the renewals forgets a searcher that is slow.
    def test_few_notices_go_into_each_message(self, clock):
        host = registry(clock)
        report(host, "a")
        for _ in range(3 * MAX_SENDS):
            assert len(host.notices().slowness) == 1
            clock.advance(timedelta(milliseconds=100))

    def test_the_receiver_is_not_told_what_it_has_just_said(self, clock):
        first, second = registry(clock), registry(clock)
        report(first, "a")
        request = first.notices()
        second.merge(request)
        assert second.notices(known=request.slowness).slowness == ()

    def test_messages_are_bounded_and_so_is_their_rate(self, clock):
        host = registry(clock)
        for number in range(1000):
            report(host, "a", f"i-{number}")
        first = host.notices().slowness
        assert len(first) == MAX_NOTICES
        sent = 0
        for _ in range(40):
            clock.advance(timedelta(milliseconds=100))
            sent += len(host.notices().slowness)
        assert sent <= 4 * NOTICES_PER_SECOND
        assert len(host.notices(is_complete=True).slowness) == MAX_NOTICES

    # Guards against: a third of all searchers that are slow use up what control may
    # send: 3 KB a second at 195 hosts.
    def test_the_bytes_of_the_longest_notices_stay_within_the_bound(self, clock):
        host = registry(clock)
        for number in range(86):
            for other in range(MAX_REPORTS):
                report(
                    host,
                    f"10.100.200.{other}:18080",
                    f"searcher-{number:05}",
                    f"zone-{other}",
                    started_ms=1_765_000_000_000,
                )
        host.notices()
        sent = 0
        for _ in range(100):
            clock.advance(timedelta(milliseconds=50))
            notices = host.notices().slowness
            sent += len(msgspec.msgpack.encode(notices))
        assert sent / 5 <= 3000

    def test_clock_steps_do_not_matter_since_ages_are_sent(self, clock):
        first = registry(clock)
        other_clock = ManualClock()
        second = registry(other_clock)
        report(first, "a")
        second.merge(first.notices())
        other_clock.advance(timedelta(seconds=REPORT_SECONDS - 0.5))
        assert estimate(second).factor == 8.0


reports = st.builds(
    SlownessReport,
    st.integers(0, 9).map(float),
    st.sampled_from([1.0, 3.0, 8.0]),
    st.sampled_from("abcdef"),
    st.sampled_from(["d1", "d2", "d3"]),
)
slowness = st.lists(reports, min_size=1, max_size=9).map(
    lambda items: Slowness.from_reports(tuple(items))
)


class TestJoin:
    @settings(max_examples=500, deadline=None)
    @given(slowness, slowness, slowness)
    def test_order_and_repetition_do_not_matter(self, first, second, third):
        assert first.join(second) == second.join(first)
        assert first.join(second).join(third) == first.join(second.join(third))
        assert first.join(first) == first
        assert first.join(second).join(second) == first.join(second)
        assert len(first.join(second).reports) <= MAX_REPORTS

    @settings(max_examples=200, deadline=None)
    @given(st.lists(reports, min_size=1, max_size=12), st.randoms())
    def test_reports_in_any_order_give_the_same_result(self, items, generator):
        results = set()
        for _ in range(2):
            known = Slowness.from_reports(())
            for item in generator.sample(items, len(items)) + items[:2]:
                known = known.join(Slowness.from_reports((item,)))
            results.add(known)
        assert len(results) == 1

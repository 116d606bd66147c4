"""Tests of what hosts tell one another about the conditions of searchers."""

import random
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.conditions import (
    ConditionNotices,
    ConditionRegistry,
    Leaving,
    LeavingNotice,
    LimitNotice,
    Pause,
    PauseNotice,
    RateLimit,
    SearcherConditions,
)
from foxtailseam.conditions._model import RETENTION_SECONDS
from foxtailseam.conditions._notices import RELAY_SECONDS
from foxtailseam.conditions._registry import (
    LEAVING_NOTICE_SECONDS,
    MAX_NOTICES,
    MAX_RUNS,
)


@pytest.fixture
def clock():
    return ManualClock()


class Host(ConditionRegistry):
    """A registry that keeps the identifiers passed to `on_notice`."""

    def __init__(self, clock):
        super().__init__(clock, random.Random(1))
        self.received = []
        self.on_notice = self.received.append

    def record_limit(self, searcher, started_ms, limit):
        observed = RateLimit(limit, self.clock.monotonic())
        self.record(searcher, SearcherConditions(started_ms, rate_limit=observed))

    def limit(self, searcher, started_ms):
        known = self.get(searcher, started_ms)
        return known.rate_limit.rate if known and known.rate_limit else None


class TestRateLimits:
    def test_the_end_of_a_limit_is_passed_on_with_its_age(self, clock):
        host = Host(clock)
        host.record_limit("i-1", 7, 2.5)
        host.record_limit("i-1", 7, None)
        clock.advance(timedelta(seconds=3))
        assert host.notices().limits == (LimitNotice("i-1", 7, None, 3000),)

    def test_a_newer_notice_replaces_an_older_one_and_is_relayed_as_older(self, clock):
        first, second, third = (Host(clock) for _ in range(3))
        first.record_limit("i-1", 7, 1.0)
        second.record_limit("i-1", 7, 1.0)
        clock.advance(timedelta(seconds=1))
        first.record_limit("i-1", 7, None)
        clock.advance(timedelta(seconds=2))
        second.merge(first.notices())
        assert second.received == ["i-1"]
        assert second.limit("i-1", 7) is None
        clock.advance(timedelta(seconds=1))
        (notice,) = second.notices().limits
        assert notice.age_ms == 3000 + 1000 * RELAY_SECONDS
        third.merge(second.notices())
        assert third.received == ["i-1"]

    def test_an_older_notice_is_ignored(self, clock):
        first, second = Host(clock), Host(clock)
        first.record_limit("i-1", 7, 1.0)
        clock.advance(timedelta(seconds=1))
        second.record_limit("i-1", 7, 1.0)
        second.record_limit("i-1", 7, None)
        second.merge(first.notices())
        assert second.received == []
        assert second.limit("i-1", 7) is None

    def test_a_limit_holds_for_one_run_of_a_searcher(self, clock):
        host = Host(clock)
        host.record_limit("i-1", 7, 1.0)
        assert host.limit("i-1", 7) == 1.0
        assert host.limit("i-1", 8) is None

    @pytest.mark.parametrize("limit", [1.0, None])
    def test_old_observations_are_forgotten(self, clock, limit):
        host = Host(clock)
        host.record_limit("i-1", 7, 1.0)
        host.record_limit("i-1", 7, limit)
        clock.advance(timedelta(seconds=RETENTION_SECONDS))
        assert len(host.notices().limits) == 1
        clock.advance(timedelta(seconds=1))
        assert host.notices() == ConditionNotices()

    def test_a_limit_that_has_ended_does_not_come_back_by_an_old_notice(self, clock):
        first, second = Host(clock), Host(clock)
        for host in (first, second):
            host.record_limit("i-1", 7, 1.0)
        first.record_limit("i-1", 7, None)
        # As long as the second host passes on the limit, the first one knows better.
        clock.advance(timedelta(seconds=RETENTION_SECONDS - 1))
        first.merge(second.notices())
        assert first.limit("i-1", 7) is None
        assert first.received == []

    def test_a_message_is_bounded(self, clock):
        host = Host(clock)
        now = clock.monotonic()
        for number in range(3 * MAX_NOTICES):
            conditions = SearcherConditions(
                7, RateLimit(1.0, now), Leaving(now), Pause(now + 9)
            )
            host.record(f"i-{number}", conditions)
        notices = host.notices()
        assert len(notices.all) == 3 * MAX_NOTICES
        assert len(notices.limits) == MAX_NOTICES


class TestRelays:
    """A notice that goes round among hosts never seems newer than it is."""

    def test_a_pause_does_not_last_longer_for_being_relayed(self, clock):
        first, second = Host(clock), Host(clock)
        ends_at = clock.monotonic() + 30
        first.record("i-1", SearcherConditions(7, pause=Pause(ends_at)))
        for _ in range(100):
            for sender, receiver in ((first, second), (second, first)):
                notices = sender.notices()
                clock.advance(timedelta(milliseconds=100))
                receiver.merge(notices)
        for host in (first, second):
            known = host.get("i-1", 7)
            assert known.peer_pause.ends_at <= ends_at

    def test_a_limit_does_not_come_back_by_its_own_relay(self, clock):
        first, second = Host(clock), Host(clock)
        first.record_limit("i-1", 7, 1.0)
        for _ in range(20):
            notices = first.notices()
            clock.advance(timedelta(milliseconds=200))
            second.merge(notices)
            notices = second.notices()
            clock.advance(timedelta(milliseconds=200))
            first.merge(notices)
        first.record_limit("i-1", 7, None)
        notices = second.notices()
        clock.advance(timedelta(milliseconds=200))
        first.merge(notices)
        assert first.limit("i-1", 7) is None

    def test_leaving_counts_from_the_first_answer_that_said_so(self, clock):
        first, second = Host(clock), Host(clock)
        first.record("i-1", SearcherConditions(7, leaving=Leaving(clock.monotonic())))
        clock.advance(timedelta(seconds=2))
        second.merge(first.notices())
        assert second.get("i-1", 7).leaving == Leaving(clock.monotonic() - 2)
        assert first.notices().leaving == (LeavingNotice("i-1", 7, 2000),)

    def test_hosts_stop_telling_one_another_but_remember(self, clock):
        host = Host(clock)
        host.record("i-1", SearcherConditions(7, leaving=Leaving(clock.monotonic())))
        clock.advance(timedelta(seconds=LEAVING_NOTICE_SECONDS))
        assert host.notices() == ConditionNotices()
        assert host.get("i-1", 7).leaving is not None

    def test_a_pause_that_is_over_is_dropped(self, clock):
        host = Host(clock)
        host.merge(ConditionNotices(pauses=(PauseNotice("i-1", 7, 400),)))
        assert host.get("i-1", 7) is None
        assert host.received == []

    def test_a_later_run_starts_without_conditions(self, clock):
        host = Host(clock)
        host.record("i-1", SearcherConditions(7, leaving=Leaving(1.0)))
        host.record("i-1", SearcherConditions(8, pause=Pause(clock.monotonic() + 5)))
        assert host.get("i-1", 8).leaving is None
        host.merge(ConditionNotices(leaving=(LeavingNotice("i-1", 7, 5),)))
        assert host.get("i-1", 8).leaving is None


times = st.floats(0, 100, allow_nan=False)
rates = st.one_of(st.none(), st.floats(0, 9, allow_nan=False))
conditions = st.builds(
    SearcherConditions,
    st.integers(1, 2),
    st.one_of(st.none(), st.builds(RateLimit, rates, times)),
    st.one_of(st.none(), st.builds(Leaving, times)),
    st.one_of(st.none(), st.builds(Pause, times)),
    st.one_of(st.none(), st.builds(Pause, times)),
)


class TestJoin:
    @settings(max_examples=300, deadline=None)
    @given(conditions, conditions, conditions)
    def test_order_and_repetition_do_not_matter(self, first, second, third):
        assert first.join(second) == second.join(first)
        assert first.join(second).join(third) == first.join(second.join(third))
        assert first.join(first) == first
        assert first.join(second).join(second) == first.join(second)

    @settings(max_examples=100, deadline=None)
    @given(st.lists(conditions, min_size=1, max_size=8), st.randoms())
    def test_reports_in_any_order_give_the_same_result(self, reports, generator):
        results = []
        for _ in range(2):
            host = Host(ManualClock())
            for report in generator.sample(reports, len(reports)) + reports[:1]:
                host.record("i-1", report)
            results.append(host._known.get("i-1"))
        assert results[0] == results[1]


class TestOddStart:
    # Guards against: a start time that another writer's entry names hides, for as long
    # as its conditions last, what the searcher reports afterwards.
    def test_a_start_time_that_was_written_once_does_not_hide_later_conditions(self):
        # Another writer's entry for a searcher named a start far in the future while
        # it reported a limit; its own entry is in force again.
        clock = ManualClock()
        registry = ConditionRegistry(clock, random.Random(1))
        limit = RateLimit(5.0, clock.monotonic())
        registry.record("i-1", SearcherConditions(2**61, rate_limit=limit))
        leaving = SearcherConditions(1_000, leaving=Leaving(clock.monotonic()))
        registry.record("i-1", leaving)
        assert registry.get("i-1", 1_000) == leaving

    # Guards against: the same, by the notice of another host.
    def test_a_notice_with_an_odd_start_time_hides_no_conditions(self, clock):
        first, second = Host(clock), Host(clock)
        leaving = SearcherConditions(1_000, leaving=Leaving(clock.monotonic()))
        first.record("i-1", leaving)
        first.merge(ConditionNotices(leaving=(LeavingNotice("i-1", 2**61, 5),)))
        second.merge(first.notices())
        for host in (first, second):
            assert host.get("i-1", 1_000).leaving is not None

    def test_few_runs_of_a_searcher_are_kept_those_that_changed_last(self, clock):
        host = Host(clock)
        for number in range(20):
            host.record_limit("i-1", 1_000 + number, 5.0)
            host.record_limit("i-1", 7, float(number))
            clock.advance(timedelta(seconds=1))
        assert host.limit("i-1", 7) == 19.0
        assert host.limit("i-1", 1_019) == 5.0
        assert len(host.notices().limits) == MAX_RUNS

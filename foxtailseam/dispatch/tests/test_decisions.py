"""Tests of the single decisions, with values in tables."""

import math
import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.dispatch import (
    BudgetSettings,
    Candidate,
    ExtraBudget,
    Failure,
    HedgeInputs,
    LatencyBaseline,
    PartialDecision,
    Progress,
    Prospect,
    ResponseTimes,
    SearcherHealth,
    WaitingLine,
    choose,
    decide,
    expected_wait,
    hedge_delay,
    least_hedge_delay,
    place,
    retry_after,
)

TYPICAL = 0.012


class TestChoose:
    @pytest.mark.parametrize(
        ("worse", "why"),
        [
            ({"slowness": 2.0}, "slow"),
            ({"in_flight": 2}, "busy"),
            ({"failure_share": 0.5}, "fails"),
            ({"is_near": False}, "far"),
            ({"has_connection": False}, "needs a connection"),
            ({"is_warming": True}, "just started"),
            ({"is_stalled": True}, "stalls"),
            ({"is_lapsed": True}, "its entry is missing"),
            ({"is_ejected": True}, "ejected"),
        ],
    )
    def test_the_better_one_is_taken(self, worse, why):
        pair = [Candidate("a", slots=2, **worse), Candidate("b", slots=2)]
        for draw in (0.0, 0.999):
            assert choose(pair, TYPICAL, draw).identifier == "b", why

    def test_one_whose_entry_is_missing_is_better_than_a_very_slow_one(self):
        pair = [Candidate("a", is_lapsed=True), Candidate("b", slowness=8.0)]
        assert choose(pair, TYPICAL).identifier == "a"

    def test_equals_share_the_requests(self):
        pair = [Candidate("a"), Candidate("b")]
        chosen = {choose(pair, TYPICAL, draw).identifier for draw in (0.1, 0.9)}
        assert chosen == {"a", "b"}

    def test_one_that_is_ejected_is_better_than_none(self):
        assert choose([Candidate("a", is_ejected=True)], TYPICAL).identifier == "a"
        assert choose([], TYPICAL) is None


class TestSearcherHealth:
    def test_a_slow_searcher_is_taken_for_typical_again_with_time(self):
        clock = ManualClock()
        health = SearcherHealth(clock)
        for _ in range(20):
            health.answered(10 * TYPICAL, TYPICAL)
        assert health.slowness > 8
        clock.advance(timedelta(seconds=15))
        assert health.slowness < 1.1

    def test_a_pause_does_not_make_a_searcher_slow(self):
        health = SearcherHealth(ManualClock())
        for seconds in (TYPICAL, TYPICAL, 9 * TYPICAL, 8 * TYPICAL, TYPICAL):
            health.answered(seconds, TYPICAL)
            assert health.slowness < 1.1

    def test_a_response_of_a_rare_route_says_nothing_of_the_speed(self):
        health = SearcherHealth(ManualClock())
        for _ in range(9):
            health.answered(8 * TYPICAL, None)
        assert health.slowness == 1.0

    def test_a_slow_searcher_is_known_after_five_responses(self):
        health = SearcherHealth(ManualClock())
        for _ in range(5):
            health.answered(8 * TYPICAL, TYPICAL)
        assert health.slowness > 5

    @pytest.mark.parametrize(
        ("failure", "is_ejected"),
        [
            (Failure.UNREACHABLE, True),
            (Failure.LOST, True),
            (Failure.SILENT, True),
            (Failure.ERROR, False),
            (Failure.SHED, False),
        ],
    )
    def test_failures_in_a_row_eject_if_nothing_was_heard(self, failure, is_ejected):
        health = SearcherHealth(ManualClock())
        for _ in range(3):
            health.failed(failure)
        assert health.is_ejected is is_ejected

    def test_an_ejection_ends_and_the_next_one_is_longer(self):
        clock = ManualClock()
        health = SearcherHealth(clock)
        lengths = []
        for _ in range(5):
            while not health.is_ejected:
                health.failed(Failure.UNREACHABLE)
            start = clock.monotonic()
            while health.is_ejected:
                clock.advance(timedelta(milliseconds=50))
            lengths.append(round(clock.monotonic() - start, 1))
        assert lengths == [0.5, 1.0, 2.0, 4.0, 4.0]

    def test_an_answer_ends_the_row(self):
        health = SearcherHealth(ManualClock())
        for _ in range(10):
            health.failed(Failure.LOST)
            health.failed(Failure.LOST)
            health.answered(TYPICAL, TYPICAL)
        assert not health.is_ejected

    def test_another_searcher_at_the_address_ejects_at_once(self):
        health = SearcherHealth(ManualClock())
        assert health.failed(Failure.MISDIRECTED)
        assert health.is_ejected

    @pytest.mark.parametrize(
        ("age", "heard_since", "expected"),
        [(0.01, False, False), (0.1, False, True), (0.1, True, False)],
    )
    def test_an_overdue_request_is_a_stall_unless_something_was_heard(
        self, age, heard_since, expected
    ):
        clock = ManualClock()
        health = SearcherHealth(clock)
        sent_at = clock.monotonic()
        clock.advance(timedelta(seconds=age))
        if heard_since:
            health.answered(TYPICAL, TYPICAL)
        assert health.is_stalled(sent_at, TYPICAL) is expected


class TestExtraBudget:
    SETTINGS = BudgetSettings(0.2, 54.0, timedelta(seconds=10))

    @given(
        st.lists(st.tuples(st.floats(0, 0.4), st.integers(0, 6)), max_size=150),
        st.integers(1, 12),
    )
    def test_no_window_has_more_extras_than_allowed(self, steps, hosts):
        """In any ten seconds, counted against the requests the rule counts."""
        clock = ManualClock()
        budget = ExtraBudget(self.SETTINGS, clock)
        requests, extras = [], []
        for pause, wanted in steps:
            clock.advance(timedelta(seconds=pause))
            now = clock.monotonic()
            budget.count_request()
            requests.append(now)
            extras += [now] * sum(budget.take(hosts) for _ in range(wanted))
        for end in extras:
            inside = sum(end - 10 < at <= end for at in extras)
            recent = sum(end - 10 < at <= end for at in requests)
            before = sum(end - 20 < at <= end - 10 for at in requests)
            middle = sum(end - 15 < at <= end - 5 for at in requests)
            allowed = 0.2 * max(recent, before, middle) + 54.0 / hosts
            assert inside <= allowed

    def test_what_is_left_falls_with_use(self):
        budget = ExtraBudget(self.SETTINGS, ManualClock())
        for _ in range(100):
            budget.count_request()
        before = budget.left(8)
        for _ in range(10):
            assert budget.take(8)
        assert before == 1.0
        assert 0.4 < budget.left(8) < 0.6


class TestDecide:
    BASE = {
        "total": 20,
        "least": 18,
        "goal_at": 0.08,
        "goal_limit_at": 0.09,
        "late_answer_at": 0.12,
        "deadline_at": 1.0,
    }

    @pytest.mark.parametrize(
        ("included", "pending", "now", "missed", "expected"),
        [
            (20, 0, 0.01, False, PartialDecision.ANSWER),
            (19, 1, 0.05, False, PartialDecision.WAIT),
            (19, 0, 0.05, False, PartialDecision.ANSWER),
            (19, 1, 0.08, False, PartialDecision.ANSWER),
            (17, 3, 0.08, False, PartialDecision.WAIT),
            (18, 2, 0.085, True, PartialDecision.ANSWER),
            (18, 2, 0.1, True, PartialDecision.WAIT),
            (18, 2, 0.12, True, PartialDecision.ANSWER),
            (17, 0, 0.01, False, PartialDecision.FAIL),
            (16, 1, 0.01, False, PartialDecision.FAIL),
            (17, 3, 1.0, True, PartialDecision.FAIL),
            (18, 2, 1.0, True, PartialDecision.ANSWER),
        ],
    )
    def test_wait_answer_or_fail(self, included, pending, now, missed, expected):
        progress = Progress(included=included, pending=pending, now=now, **self.BASE)
        assert decide(progress, missed) is expected

    @given(st.integers(0, 20), st.data(), st.floats(0, 2), st.booleans())
    def test_an_answer_has_enough_and_nothing_waits_past_the_deadline(
        self, included, data, now, missed
    ):
        pending = data.draw(st.integers(0, 20 - included))
        progress = Progress(included=included, pending=pending, now=now, **self.BASE)
        decision = decide(progress, missed)
        if decision is PartialDecision.ANSWER:
            assert included >= 18
        if now >= 1.0 or pending == 0:
            assert decision is not PartialDecision.WAIT


class TestHedgeDelay:
    @staticmethod
    def times():
        times = ResponseTimes(0.1)
        for number in range(1, 101):
            times.record(number / 1000)
        return times

    def test_it_leaves_the_hedge_time_to_answer(self):
        delay = hedge_delay(HedgeInputs(0.5, self.times(), 1.0))
        assert delay + 2 * self.times().quantile(0.9) <= 0.5

    def test_the_budget_decides_how_many_are_hedged(self):
        early = hedge_delay(HedgeInputs(0.05, self.times(), 1.0))
        late = hedge_delay(HedgeInputs(0.05, self.times(), 0.0))
        assert early < late
        assert early >= self.times().quantile(0.8)

    def test_slow_searchers_do_not_put_off_the_hedges_of_others(self):
        # Both searchers of two shards in twenty are eight times slower.
        times = ResponseTimes(0.09)
        for number in range(256):
            times.record(0.1 if number % 10 == 0 else 0.012)
        for budget_left in (1.0, 0.5, 0.0):
            assert hedge_delay(HedgeInputs(0.08, times, budget_left)) < 0.04

    @given(st.floats(0.0, 0.2), st.floats(0.0, 1.0))
    def test_no_delay_is_below_the_least_one(self, until_goal, budget_left):
        times = self.times()
        delay = hedge_delay(HedgeInputs(until_goal, times, budget_left))
        assert delay >= least_hedge_delay(times) - 1e-12

    def test_the_goal_guides_until_there_are_samples(self):
        delay = hedge_delay(HedgeInputs(0.09, ResponseTimes(0.1), 1.0))
        assert 0.02 < delay < 0.09


class TestBaseline:
    def test_the_excess_is_over_the_least_time(self):
        baseline = LatencyBaseline(ManualClock())
        assert [baseline.excess(x) for x in (0.05, 0.04, 0.1)] == [
            0.0,
            0.0,
            pytest.approx(0.06),
        ]

    def test_it_follows_searchers_that_stay_slower(self):
        clock = ManualClock()
        baseline = LatencyBaseline(clock)
        baseline.excess(0.04)
        for _ in range(60):
            clock.advance(timedelta(seconds=1))
            excess = baseline.excess(0.08)
        assert excess == 0.0


GONE = Prospect(math.inf)


class TestPlace:
    @pytest.mark.parametrize(
        ("unlikely", "spare", "asked"),
        [
            # No shard that cannot answer in time is needed: one is tried while
            # nothing of this host waits there, none that is to be left alone.
            ((Prospect(0.2),), 2, (True,)),
            ((Prospect(0.2, 1),), 2, (False,)),
            ((GONE,), 2, (False,)),
            ((GONE, Prospect(0.2, 1)), 2, (False, False)),
            # As many as are needed are asked, the most promising ones.
            ((GONE, Prospect(0.9, 3), Prospect(0.2, 3)), 2, (False, False, True)),
            ((GONE, Prospect(0.9, 3), Prospect(0.2, 3)), 1, (False, True, True)),
            ((GONE, Prospect(0.9, 3), Prospect(0.2, 3)), 0, (True, True, True)),
        ],
    )
    def test_shards_that_cannot_answer_in_time(self, unlikely, spare, asked):
        prospects = [Prospect(0.01, 4)] * 10 + list(unlikely)
        draws = [0.5] * len(prospects)
        chosen = place(prospects, 0.08, spare, draws)
        assert chosen == [True] * 10 + list(asked)

    def test_chance_divides_the_load_among_shards_alike(self):
        prospects = [Prospect(0.2, 1), Prospect(0.2, 1)]
        first = place(prospects, 0.08, 1, (0.1, 0.9))
        second = place(prospects, 0.08, 1, (0.9, 0.1))
        assert (first, second) == ([True, False], [False, True])

    @given(st.lists(st.floats(0.001, 1.0), min_size=1, max_size=30), st.integers(0, 30))
    def test_enough_shards_for_a_success_are_asked(self, expected, spare):
        prospects = [Prospect(seconds, 2) for seconds in expected]
        chosen = place(prospects, 0.08, spare, [0.5] * len(expected))
        assert sum(chosen) >= min(len(expected), len(expected) - spare)


class TestWaitingLine:
    def test_priority_goes_first_then_the_earlier_deadline(self):
        line, order = WaitingLine(), []
        for priority, deadline in ((2, 1.0), (1, 9.0), (1, 3.0), (2, 0.5)):
            line.join(
                priority, deadline, lambda p=priority, d=deadline: order.append((p, d))
            )
        while line.admit():
            pass
        assert order == [(1, 3.0), (1, 9.0), (2, 0.5), (2, 1.0)]

    def test_a_place_that_was_left_gets_no_turn(self):
        line, order = WaitingLine(), []
        place = line.join(1, 1.0, lambda: order.append("left"))
        line.join(1, 2.0, lambda: order.append("stayed"))
        place.leave()
        assert line.ahead_of(1, 5.0) == 1
        assert line.admit()
        assert order == ["stayed"]
        assert not line.admit()

    @given(st.integers(0, 500), st.integers(0, 50), st.floats(0.001, 2))
    def test_a_refused_caller_comes_back_within_bounds(self, ahead, slots, typical):
        wait = expected_wait(ahead, slots, typical)
        assert wait >= 0
        assert 0.05 <= retry_after(wait) <= 2.0


class TestDraws:
    def test_draws_stay_within_the_candidates(self):
        generator = random.Random(1)
        trio = [Candidate(name) for name in "abc"]
        chosen = {
            choose(trio, TYPICAL, generator.random()).identifier for _ in range(99)
        }
        assert chosen == {"a", "b", "c"}

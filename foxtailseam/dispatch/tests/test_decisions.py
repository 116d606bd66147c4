"""Tests of the decision functions of the dispatch package."""

import math
import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.dispatch import (
    AttemptFailure,
    BudgetSettings,
    Candidate,
    ExtraLoadBudget,
    HedgeInputs,
    LatencyBaseline,
    QueryDecision,
    QueryProgress,
    ResponseTimes,
    SearcherHealth,
    ShardEstimate,
    WaitQueue,
    choose_searcher,
    clamp_retry_after,
    decide_query,
    expected_wait,
    hedge_delay,
    min_hedge_delay,
    select_shards,
)
from foxtailseam.locality import CROSS_DOMAIN_COST_SECONDS

MEDIAN_TIME = 0.012


class TestChooseSearcher:
    @pytest.mark.parametrize(
        ("worse", "why"),
        [
            ({"slowness": 2.0}, "slow"),
            ({"in_flight": 2}, "busy"),
            ({"failure_share": 0.5}, "fails"),
            ({"distance_cost": CROSS_DOMAIN_COST_SECONDS}, "far"),
            ({"has_connection": False}, "needs a connection"),
            ({"is_warming": True}, "just started"),
            ({"is_stalled": True}, "stalls"),
            ({"is_lapsed": True}, "its entry is missing"),
            ({"is_ejected": True}, "ejected"),
        ],
    )
    def test_prefers_the_better_searcher(self, worse, why):
        pair = [Candidate("a", slots=2, **worse), Candidate("b", slots=2)]
        for draw in (0.0, 0.999):
            assert choose_searcher(pair, MEDIAN_TIME, draw).identifier == "b", why

    def test_prefers_a_lapsed_searcher_to_a_very_slow_one(self):
        pair = [Candidate("a", is_lapsed=True), Candidate("b", slowness=8.0)]
        assert choose_searcher(pair, MEDIAN_TIME).identifier == "a"

    def test_equal_searchers_share_the_requests(self):
        pair = [Candidate("a"), Candidate("b")]
        chosen = {
            choose_searcher(pair, MEDIAN_TIME, draw).identifier for draw in (0.1, 0.9)
        }
        assert chosen == {"a", "b"}

    def test_chooses_an_ejected_searcher_if_there_is_no_other(self):
        assert (
            choose_searcher([Candidate("a", is_ejected=True)], MEDIAN_TIME).identifier
            == "a"
        )
        assert choose_searcher([], MEDIAN_TIME) is None


class TestSearcherHealth:
    def test_slowness_decays_without_new_samples(self):
        clock = ManualClock()
        health = SearcherHealth(clock)
        for _ in range(20):
            health.record_response(
                10 * MEDIAN_TIME, MEDIAN_TIME, health.clock.monotonic()
            )
        assert health.slowness > 8
        clock.advance(timedelta(seconds=15))
        assert health.slowness < 1.1

    def test_short_pause_does_not_raise_the_slowness(self):
        health = SearcherHealth(ManualClock())
        for seconds in (
            MEDIAN_TIME,
            MEDIAN_TIME,
            9 * MEDIAN_TIME,
            8 * MEDIAN_TIME,
            MEDIAN_TIME,
        ):
            health.record_response(seconds, MEDIAN_TIME, health.clock.monotonic())
            assert health.slowness < 1.1

    def test_response_without_a_median_leaves_the_slowness_unchanged(self):
        health = SearcherHealth(ManualClock())
        for _ in range(9):
            health.record_response(8 * MEDIAN_TIME, None, health.clock.monotonic())
        assert health.slowness == 1.0

    def test_slow_searcher_is_detected_after_five_responses(self):
        health = SearcherHealth(ManualClock())
        for _ in range(5):
            health.record_response(
                8 * MEDIAN_TIME, MEDIAN_TIME, health.clock.monotonic()
            )
        assert health.slowness > 5

    @pytest.mark.parametrize(
        ("failure", "is_ejected"),
        [
            (AttemptFailure.UNREACHABLE, True),
            (AttemptFailure.LOST, True),
            (AttemptFailure.NO_RESPONSE, True),
            (AttemptFailure.ERROR, False),
            (AttemptFailure.SHED, False),
        ],
    )
    def test_consecutive_failures_without_a_response_eject(self, failure, is_ejected):
        health = SearcherHealth(ManualClock())
        for _ in range(3):
            health.record_failure(failure)
        assert health.is_ejected is is_ejected

    def test_ejections_double_in_length_up_to_the_maximum(self):
        clock = ManualClock()
        health = SearcherHealth(clock)
        lengths = []
        for _ in range(5):
            while not health.is_ejected:
                health.record_failure(AttemptFailure.UNREACHABLE)
            start = clock.monotonic()
            while health.is_ejected:
                clock.advance(timedelta(milliseconds=50))
            lengths.append(round(clock.monotonic() - start, 1))
        assert lengths == [0.5, 1.0, 2.0, 4.0, 4.0]

    def test_response_resets_the_consecutive_failures(self):
        health = SearcherHealth(ManualClock())
        for _ in range(10):
            health.record_failure(AttemptFailure.LOST)
            health.record_failure(AttemptFailure.LOST)
            health.record_response(MEDIAN_TIME, MEDIAN_TIME, health.clock.monotonic())
        assert not health.is_ejected

    def test_misdirected_request_ejects_at_once(self):
        health = SearcherHealth(ManualClock())
        assert health.record_failure(AttemptFailure.MISDIRECTED)
        assert health.is_ejected

    @pytest.mark.parametrize(
        ("age", "has_responded", "expected"),
        [(0.01, False, False), (0.1, False, True), (0.1, True, False)],
    )
    def test_overdue_request_is_a_stall_unless_a_response_came_since(
        self, age, has_responded, expected
    ):
        clock = ManualClock()
        health = SearcherHealth(clock)
        sent_at = clock.monotonic()
        clock.advance(timedelta(seconds=age))
        if has_responded:
            health.record_response(MEDIAN_TIME, MEDIAN_TIME, health.clock.monotonic())
        assert health.is_stalled(sent_at, MEDIAN_TIME, clock.monotonic()) is expected


class TestExtraLoadBudget:
    SETTINGS = BudgetSettings(0.2, 54.0, timedelta(seconds=10))

    @given(
        st.lists(st.tuples(st.floats(0, 0.4), st.integers(0, 6)), max_size=150),
        st.integers(1, 12),
    )
    def test_no_window_exceeds_the_allowance(self, steps, hosts):
        """Compare the extras of each ten-second window with its request count.

        The count is the largest of those of the window itself, the preceding window
        and the one in between.
        """
        clock = ManualClock()
        budget = ExtraLoadBudget(self.SETTINGS, clock)
        requests, extras = [], []
        for pause, wanted in steps:
            clock.advance(timedelta(seconds=pause))
            now = clock.monotonic()
            budget.count_request()
            requests.append(now)
            extras += [now] * sum(budget.take_extra(hosts) for _ in range(wanted))
        for end in extras:
            inside = sum(end - 10 < at <= end for at in extras)
            recent = sum(end - 10 < at <= end for at in requests)
            before = sum(end - 20 < at <= end - 10 for at in requests)
            middle = sum(end - 15 < at <= end - 5 for at in requests)
            allowed = 0.2 * max(recent, before, middle) + 54.0 / hosts
            assert inside <= allowed

    def test_a_service_that_got_no_request_yet_has_the_slack(self):
        budget = ExtraLoadBudget(self.SETTINGS, ManualClock())
        assert budget.allows_extra(8)
        assert not budget.allows_extra(100)

    def test_remaining_share_falls_with_use(self):
        budget = ExtraLoadBudget(self.SETTINGS, ManualClock())
        for _ in range(100):
            budget.count_request()
        before = budget.state(8).remaining_share
        for _ in range(10):
            assert budget.take_extra(8)
        assert before == 1.0
        assert 0.4 < budget.state(8).remaining_share < 0.6


class TestDecideQuery:
    BASE = {
        "total": 20,
        "min_included": 18,
        "goal_at": 0.08,
        "goal_limit_at": 0.09,
        "late_answer_at": 0.12,
        "deadline_at": 1.0,
    }

    @pytest.mark.parametrize(
        ("included", "pending", "now", "missed", "expected"),
        [
            (20, 0, 0.01, False, QueryDecision.ANSWER),
            (19, 1, 0.05, False, QueryDecision.WAIT),
            (19, 0, 0.05, False, QueryDecision.ANSWER),
            (19, 1, 0.08, False, QueryDecision.ANSWER),
            (17, 3, 0.08, False, QueryDecision.WAIT),
            (18, 2, 0.085, True, QueryDecision.ANSWER),
            (18, 2, 0.1, True, QueryDecision.WAIT),
            (18, 2, 0.12, True, QueryDecision.ANSWER),
            (17, 0, 0.01, False, QueryDecision.FAIL),
            (16, 1, 0.01, False, QueryDecision.FAIL),
            (17, 3, 1.0, True, QueryDecision.FAIL),
            (18, 2, 1.0, True, QueryDecision.ANSWER),
        ],
    )
    def test_decision_table(self, included, pending, now, missed, expected):
        progress = QueryProgress(
            included=included, pending=pending, now=now, **self.BASE
        )
        assert decide_query(progress, missed) is expected

    @given(st.integers(0, 20), st.data(), st.floats(0, 2), st.booleans())
    def test_answers_with_enough_shards_and_never_waits_past_the_deadline(
        self, included, data, now, missed
    ):
        pending = data.draw(st.integers(0, 20 - included))
        progress = QueryProgress(
            included=included, pending=pending, now=now, **self.BASE
        )
        decision = decide_query(progress, missed)
        if decision is QueryDecision.ANSWER:
            assert included >= 18
        if now >= 1.0 or pending == 0:
            assert decision is not QueryDecision.WAIT


class TestHedgeDelay:
    @staticmethod
    def times():
        times = ResponseTimes(0.1)
        for number in range(1, 101):
            times.record(number / 1000)
        return times

    def test_leaves_the_hedge_time_to_answer(self):
        delay = hedge_delay(HedgeInputs(0.5, self.times(), 1.0))
        assert delay + 2 * self.times().quantile(0.9) <= 0.5

    def test_delay_rises_as_the_budget_is_used(self):
        with_budget = hedge_delay(HedgeInputs(0.05, self.times(), 1.0))
        without_budget = hedge_delay(HedgeInputs(0.05, self.times(), 0.0))
        assert with_budget < without_budget
        assert with_budget >= self.times().quantile(0.8)

    def test_large_budget_hedges_while_there_is_time_for_an_answer(self):
        # Few queries a host: its share of the slack allows half of them to be hedged.
        times = ResponseTimes(0.094)
        for number in range(256):
            times.record(0.05 if number % 4 == 0 else 0.02)
        small, large = (
            hedge_delay(HedgeInputs(0.075, times, 1.0, share)) for share in (0.2, 0.55)
        )
        assert small > 0.05
        assert large < 0.025

    def test_slow_searchers_do_not_delay_the_hedges_of_others(self):
        # As if both searchers of two shards in twenty were eight times slower.
        times = ResponseTimes(0.09)
        for number in range(256):
            times.record(0.1 if number % 10 == 0 else 0.012)
        for budget_left in (1.0, 0.5, 0.0):
            assert hedge_delay(HedgeInputs(0.08, times, budget_left)) < 0.04

    @given(st.floats(0.0, 0.2), st.floats(0.0, 1.0))
    def test_no_delay_is_below_the_minimum(self, until_goal, budget_left):
        times = self.times()
        delay = hedge_delay(HedgeInputs(until_goal, times, budget_left))
        assert delay >= min_hedge_delay(times) - 1e-12

    def test_delay_follows_the_goal_without_samples(self):
        delay = hedge_delay(HedgeInputs(0.09, ResponseTimes(0.1), 1.0))
        assert 0.02 < delay < 0.09


class TestLatencyBaseline:
    def test_excess_is_relative_to_the_minimum(self):
        baseline = LatencyBaseline(ManualClock())
        excesses = []
        for seconds in (0.05, 0.04, 0.1):
            baseline.record(seconds)
            excesses.append(baseline.excess(seconds))
        assert excesses == [0.0, 0.0, pytest.approx(0.06)]

    def test_baseline_rises_when_searchers_stay_slower(self):
        clock = ManualClock()
        baseline = LatencyBaseline(clock)
        baseline.record(0.04)
        for _ in range(60):
            clock.advance(timedelta(seconds=1))
            baseline.record(0.08)
        assert baseline.excess(0.08) == 0.0


UNAVAILABLE = ShardEstimate(math.inf)


class TestSelectShards:
    @pytest.mark.parametrize(
        ("unlikely", "max_missing", "selected"),
        [
            # None of these shards is needed: one is selected only if this host has no
            # request in flight there and its searchers are not all ejected.
            ((ShardEstimate(0.2),), 2, (True,)),
            ((ShardEstimate(0.2, 1),), 2, (False,)),
            ((UNAVAILABLE,), 2, (False,)),
            ((UNAVAILABLE, ShardEstimate(0.2, 1)), 2, (False, False)),
            # As many as are needed are selected, fastest first.
            (
                (UNAVAILABLE, ShardEstimate(0.9, 3), ShardEstimate(0.2, 3)),
                2,
                (False, False, True),
            ),
            (
                (UNAVAILABLE, ShardEstimate(0.9, 3), ShardEstimate(0.2, 3)),
                1,
                (False, True, True),
            ),
            (
                (UNAVAILABLE, ShardEstimate(0.9, 3), ShardEstimate(0.2, 3)),
                0,
                (True, True, True),
            ),
        ],
    )
    def test_selection_of_shards_unlikely_to_answer_in_time(
        self, unlikely, max_missing, selected
    ):
        estimates = [ShardEstimate(0.01, 4)] * 10 + list(unlikely)
        draws = [0.5] * len(estimates)
        chosen = select_shards(estimates, 0.08, max_missing, draws)
        assert chosen == [True] * 10 + list(selected)

    def test_random_draws_balance_the_load_of_similar_shards(self):
        estimates = [ShardEstimate(0.2, 1), ShardEstimate(0.2, 1)]
        first = select_shards(estimates, 0.08, 1, (0.1, 0.9))
        second = select_shards(estimates, 0.08, 1, (0.9, 0.1))
        assert (first, second) == ([True, False], [False, True])

    @given(st.lists(st.floats(0.001, 1.0), min_size=1, max_size=30), st.integers(0, 30))
    def test_selects_enough_shards_for_a_success(self, expected, max_missing):
        estimates = [ShardEstimate(seconds, 2) for seconds in expected]
        chosen = select_shards(estimates, 0.08, max_missing, [0.5] * len(expected))
        assert sum(chosen) >= min(len(expected), len(expected) - max_missing)


class TestWaitQueue:
    def test_orders_by_priority_then_by_deadline(self):
        queue, order = WaitQueue(), []
        for priority, deadline in ((2, 1.0), (1, 9.0), (1, 3.0), (2, 0.5)):
            queue.add(
                priority, deadline, lambda p=priority, d=deadline: order.append((p, d))
            )
        queue.admit(lambda: True, math.inf)
        assert order == [(1, 3.0), (1, 9.0), (2, 0.5), (2, 1.0)]

    def test_cancelled_entry_is_not_admitted(self):
        queue, order = WaitQueue(), []
        entry = queue.add(1, 1.0, lambda: order.append("left"))
        queue.add(1, 2.0, lambda: order.append("stayed"))
        entry.cancel()
        assert queue.count_ahead(1, 5.0) == 1
        queue.admit(lambda: True, 1)
        assert order == ["stayed"]
        queue.admit(lambda: True, 1)
        assert order == ["stayed"]
        assert not queue

    @given(st.integers(0, 500), st.integers(0, 50), st.floats(0.001, 2))
    def test_retry_delay_stays_within_bounds(self, ahead, slots, median_time):
        wait = expected_wait(ahead, slots, median_time)
        assert wait >= 0
        assert 0.05 <= clamp_retry_after(wait) <= 2.0


class TestRandomDraws:
    def test_random_draws_reach_every_candidate(self):
        generator = random.Random(1)
        trio = [Candidate(name) for name in "abc"]
        chosen = {
            choose_searcher(trio, MEDIAN_TIME, generator.random()).identifier
            for _ in range(99)
        }
        assert chosen == {"a", "b", "c"}

"""Tests of the points in time by which a request must be answered."""

from datetime import timedelta

import pytest

from foxtailseam.front import TimingSettings, query_times
from foxtailseam.routing import OneService, Route

NETWORK_DELAY = 0.006
PROCESSING_TIME = TimingSettings().processing_time.total_seconds()


def route(goal_ms):
    return Route(
        name="r",
        host="a.example",
        prefix="/r/",
        idempotent=True,
        timeout=timedelta(seconds=1),
        latency_goal=timedelta(milliseconds=goal_ms),
        max_attempts=2,
        priority=1,
        destination=OneService("s"),
    )


def times(goal_ms=100, remaining_ms=None, answer_delay=0.0):
    remaining = None if remaining_ms is None else timedelta(milliseconds=remaining_ms)
    return query_times(
        route(goal_ms),
        0.0,
        NETWORK_DELAY,
        remaining,
        TimingSettings(),
        answer_delay,
    )


class TestQueryTimes:
    @pytest.mark.parametrize("answer_delay", [0.0, 0.004, 0.01])
    def test_late_host_plans_earlier_answers(self, answer_delay):
        planned = times(remaining_ms=400, answer_delay=answer_delay)
        overhead = NETWORK_DELAY + max(PROCESSING_TIME, answer_delay)
        assert planned.goal_at == pytest.approx(0.097 - overhead)
        assert planned.goal_limit_at == pytest.approx(0.1 - overhead)
        assert planned.deadline_at == pytest.approx(0.4 - overhead)

    def test_delay_of_the_host_takes_a_bounded_part_of_the_goal(self):
        assert times(answer_delay=0.5).goal_at >= 0.07

    @pytest.mark.parametrize("goal_ms", [20, 100, 1000])
    @pytest.mark.parametrize("remaining_ms", [30, 90, 5000])
    def test_times_are_in_order(self, goal_ms, remaining_ms):
        planned = times(goal_ms, remaining_ms, 0.01)
        assert planned.goal_at <= planned.goal_limit_at <= planned.deadline_at
        assert planned.late_answer_at <= planned.deadline_at

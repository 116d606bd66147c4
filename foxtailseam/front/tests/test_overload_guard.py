"""Tests of the admission control of queries to all shards."""

import random
from datetime import timedelta

from foxtailseam.clocks import ManualClock
from foxtailseam.front import OverloadGuard, QueryDuration
from foxtailseam.routing import AllShards, Route

GOAL = timedelta(milliseconds=200)
UNQUEUED_SECONDS = 0.08
ROUTE = Route(
    name="all",
    host="a.example",
    prefix="/all/",
    idempotent=True,
    timeout=timedelta(seconds=1.2),
    latency_goal=GOAL,
    max_attempts=2,
    priority=1,
    destination=AllShards(("shard0", "shard1"), top_k=5, min_share=0.5),
)


class Load:
    """Queries that run concurrently and end together, again and again."""

    def __init__(self, in_flight):
        self.clock = ManualClock()
        self.guard = OverloadGuard(self.clock, random.Random(1))
        self.in_flight = in_flight
        self.retry_delays = []

    def run(self, rounds, seconds, shed=False):
        """Run queries whose quorum takes `seconds`; None if they fail at once."""
        for _ in range(rounds):
            delays = [self.guard.admit(ROUTE) for _ in range(self.in_flight)]
            self.retry_delays += [delay for delay in delays if delay is not None]
            duration = 0.001 if seconds is None else seconds
            self.clock.advance(timedelta(seconds=duration))
            for _ in range(delays.count(None)):
                durations = QueryDuration(seconds, seconds, duration)
                self.guard.record_end(ROUTE, durations, shed)


class TestFailuresWithinAMillisecond:
    def test_they_do_not_make_normal_queries_look_queued(self):
        load = Load(in_flight=10)
        load.run(10, UNQUEUED_SECONDS)
        load.run(1, None)
        load.run(10, UNQUEUED_SECONDS)
        assert load.retry_delays == []

    def test_refused_callers_are_not_told_to_come_back_within_a_millisecond(self):
        load = Load(in_flight=10)
        load.run(10, UNQUEUED_SECONDS)
        load.run(300, None, shed=True)
        assert load.retry_delays
        assert min(load.retry_delays) >= timedelta(seconds=0.5 * UNQUEUED_SECONDS)


class TestStandingQueue:
    def test_it_lowers_the_limit_while_answers_are_still_in_time(self):
        load = Load(in_flight=10)
        load.run(3, UNQUEUED_SECONDS)
        load.run(10, 0.13)
        assert load.retry_delays

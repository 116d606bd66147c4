"""Tests of the steps of a shutdown and of the requests that a stopping host takes."""

import asyncio
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.front._shutdown import Shutdown, plan_shutdown
from foxtailseam.logs import EventCode
from foxtailseam_bench.simulation import simulated_service
from foxtailseam_bench.simulation._tier import RecordingLog


class TestSchedule:
    @pytest.mark.parametrize("seconds", [0.6, 2.0, 3.4, 6.0, 30.0])
    def test_the_steps_come_in_order_within_the_grace(self, seconds):
        schedule = plan_shutdown(100.0, timedelta(seconds=seconds))
        steps = [
            100.0,
            schedule.close_responses_at,
            schedule.close_listener_at,
            schedule.close_unused_at,
            schedule.end_requests_at,
            schedule.exit_at,
            100.0 + seconds,
        ]
        assert steps == sorted(set(steps))

    def test_a_longer_grace_leaves_more_time_to_running_requests(self):
        short, long = (plan_shutdown(0.0, timedelta(seconds=s)) for s in (6, 30))
        assert short.close_unused_at == long.close_unused_at
        assert long.end_requests_at == pytest.approx(29.5)


class TestRequestsOfAStoppingHost:
    @pytest.fixture
    def tier(self):
        with simulated_service(1, 2, 0.1, 600, kind="non_idempotent") as (tier,):
            yield tier

    def arrivals(self, tier):
        return sum(len(searcher.arrivals) for searcher in tier.searchers["records"])

    def test_one_that_usually_takes_longer_than_is_left_is_refused_at_once(self, tier):
        tier.load("/read/x", 10, 0.0, 5.0)
        tier.time.run_until(6.0)
        arrived = self.arrivals(tier)
        tier.front.stop_by(6.05)
        call = tier.send("/read/late")
        assert call.response.status == 503
        assert call.answered_at == call.sent_at
        assert self.arrivals(tier) == arrived

    def test_one_that_can_be_answered_is_served(self, tier):
        tier.load("/read/x", 10, 0.0, 5.0)
        tier.time.run_until(6.0)
        tier.front.stop_by(8.5)
        call = tier.send("/read/late", deadline_ms=4_000)
        tier.time.run_until(8.5)
        assert call.response.status == 200

    def test_it_is_answered_by_the_end_although_its_timeout_is_later(self, tier):
        for searcher in tier.searchers["records"]:
            searcher.is_unresponsive = True
        tier.front.stop_by(2.5)
        call = tier.send("/read/late", deadline_ms=4_000)
        tier.time.run_until(5.0)
        assert call.response.status == 504
        assert call.answered_at == pytest.approx(2.5)

    @pytest.mark.parametrize("count", [1, 12, 60])
    def test_none_is_sent_while_the_others_are_failed(self, tier, count):
        for searcher in tier.searchers["records"]:
            searcher.slowness = 1000.0
        calls = [tier.send("/read/x", deadline_ms=4_000) for _ in range(count)]
        tier.time.run_until(1.0)
        arrived = self.arrivals(tier)
        tier.front.abort_all()
        tier.time.run_until(1.5)
        assert self.arrivals(tier) == arrived
        statuses = [call.response.status for call in calls]
        assert sorted(statuses) == [503] * (count - arrived) + [504] * arrived


class IdleListener:
    """A listener without connections that counts its steps."""

    def __init__(self):
        self.unfinished = 0
        self.steps = []

    def drain(self):
        self.steps.append("drain")

    async def stop_accepting(self):
        self.steps.append("stop_accepting")

    def close_idle(self):
        self.steps.append("close_idle")

    def reject_incomplete(self):
        self.steps.append("reject_incomplete")

    def stop(self):
        self.steps.append("stop")


class TestShutdown:
    def run(self, listener, leave, running=0):
        log = RecordingLog()

        async def main():
            clock = SystemClock()
            schedule = plan_shutdown(clock.monotonic(), timedelta(seconds=0.6))
            shutdown = Shutdown(
                schedule,
                listener,
                lambda: running,
                lambda: listener.steps.append("abort"),
                leave,
                clock,
                log,
            )
            async with asyncio.timeout(1.0):
                await shutdown.run()

        asyncio.run(main())
        return log

    async def leave(self):
        pass

    async def leave_with_error(self):
        raise AssertionError("a peer's answer that grpclib didn't expect")

    async def leave_never(self):
        await asyncio.Event().wait()

    @pytest.mark.parametrize("name", ["leave", "leave_with_error", "leave_never"])
    def test_it_does_not_depend_on_what_other_hosts_answer(self, name):
        listener = IdleListener()
        log = self.run(listener, getattr(self, name))
        assert listener.steps == ["drain", "stop_accepting", "close_idle", "stop"]
        failed = [code for code, _ in log.events if code is EventCode.TASK_FAILED]
        assert len(failed) == (name == "leave_with_error")

    def test_requests_that_still_run_are_failed_before_the_end(self):
        listener = IdleListener()
        log = self.run(listener, self.leave, running=2)
        assert listener.steps[3:] == ["abort", "reject_incomplete", "stop"]
        assert (EventCode.DRAIN_BOUND_REACHED, {"request": "", "in_flight": 2}) in (
            log.events
        )

"""Tests of the steps of a shutdown."""

import asyncio
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.front._shutdown import Shutdown, plan_shutdown
from foxtailseam.logs import EventCode
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

"""Tests of the restarts of failed tasks, in virtual time."""

import asyncio
import json
import logging
import os
import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.logs import LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.supervision import (
    FailureLog,
    LoopErrors,
    PeriodicWork,
    RestartSettings,
    Supervisor,
    restart_backoff,
)


class Harness:
    """A supervisor whose sleeps advance a clock and whose log is kept."""

    def __init__(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self._reader, writer = os.pipe()
        self.log = LogWriter(writer, "host", self.clock)
        self.failures = FailureLog(self.log, self.metrics, self.clock)
        self.pauses = []
        self.supervisor = Supervisor(
            self.failures, self.clock, random.Random(1), sleep=self.sleep
        )

    async def sleep(self, seconds):
        self.pauses.append(seconds)
        self.clock.advance(timedelta(seconds=seconds))
        await asyncio.sleep(0)

    def events(self):
        self.log.flush()
        os.set_blocking(self._reader, False)
        try:
            text = os.read(self._reader, 100_000)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in text.splitlines()]


def failing(count, seconds=0.0, clock=None, error=ValueError):
    """Return a coroutine function that fails `count` times, and its calls."""
    calls = []

    async def run():
        calls.append(None)
        if clock is not None:
            clock.advance(timedelta(seconds=seconds))
        if len(calls) <= count:
            raise error("x" * 1000)

    return run, calls


class TestSupervisor:
    def test_a_failed_task_is_begun_again_and_each_failure_is_told(self):
        async def scenario():
            harness = Harness()
            run, calls = failing(3)
            await harness.supervisor.start("work", run)
            assert len(calls) == 4
            events = harness.events()
            assert [event["failures"] for event in events] == [1, 2, 3]
            assert {(e["event"], e["task"], e["error"]) for e in events} == {
                (110, "work", "ValueError")
            }
            assert [e["restart_ms"] for e in events] == [
                round(pause * 1000) for pause in harness.pauses
            ]
            assert max(len(event["problem"]) for event in events) == 200
            assert harness.metrics.count("task_failures") == 3
            assert harness.failures.failing == 1
            harness.clock.advance(timedelta(seconds=10))
            assert harness.failures.failing == 0

        asyncio.run(scenario())

    def test_the_backoff_begins_anew_after_a_time_without_failure(self):
        async def scenario():
            harness = Harness()
            run, _ = failing(5, seconds=10.0, clock=harness.clock)
            await harness.supervisor.start("work", run)
            assert [event["failures"] for event in harness.events()] == [1] * 5
            assert max(harness.pauses) <= 0.25

        asyncio.run(scenario())

    def test_a_cancellation_of_what_a_task_awaits_is_a_failure(self):
        async def scenario():
            harness = Harness()
            run, calls = failing(1, error=asyncio.CancelledError)
            await harness.supervisor.start("work", run)
            assert len(calls) == 2

        asyncio.run(scenario())

    @pytest.mark.parametrize("method", ["start", "run_once"])
    def test_a_cancelled_task_ends(self, method):
        async def scenario():
            harness = Harness()
            task = getattr(harness.supervisor, method)("work", asyncio.Event().wait)
            await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not harness.events()

        asyncio.run(scenario())

    def test_a_task_that_runs_once_tells_its_failure_and_raises_nothing(self):
        async def scenario():
            harness = Harness()
            run, calls = failing(1)
            assert not await harness.supervisor.run_once("exchange", run)
            assert await harness.supervisor.run_once("exchange", run)
            assert [event["task"] for event in harness.events()] == ["exchange"]

        asyncio.run(scenario())


class TestRestartBackoff:
    @given(st.integers(1, 10**9), st.integers())
    def test_it_grows_to_its_bound_with_jitter(self, failures, seed):
        settings = RestartSettings()
        pause = restart_backoff(failures, settings, random.Random(seed))
        full = 0.25 * 2 ** min(failures - 1, 3)
        assert 0.6 * full <= pause <= full <= settings.max_backoff.total_seconds()


class TestPeriodicWork:
    def test_a_step_that_fails_stops_neither_the_others_nor_the_next_round(self):
        async def scenario():
            harness = Harness()
            done = []
            work = PeriodicWork(
                {"bad": lambda: 1 / 0, "good": lambda: done.append(None)},
                timedelta(milliseconds=1),
                lambda delay: None,
                harness.supervisor,
                harness.clock,
                asyncio.get_running_loop(),
            )
            work.run()
            while len(done) < 3:
                await asyncio.sleep(0.001)
            assert {event["task"] for event in harness.events()} == {"bad"}

        asyncio.run(scenario())


class TestLoopErrors:
    def test_an_error_in_a_callback_and_what_a_library_logs_become_events(self, capfd):
        async def scenario():
            harness = Harness()
            loop = asyncio.get_running_loop()
            errors = LoopErrors(harness.failures)
            errors.install(loop)
            loop.call_soon(lambda: 1 / 0)
            await asyncio.sleep(0.01)
            logging.getLogger("grpclib.server").error("m" * 1000)
            errors.remove()
            events = harness.events()
            assert [event["event"] for event in events] == [120, 123]
            assert events[0]["error"] == "ZeroDivisionError"
            assert max(len(event["message"]) for event in events) == 200
            assert harness.metrics.count("callback_failures") == 1

        asyncio.run(scenario())
        assert "Traceback" not in capfd.readouterr().err

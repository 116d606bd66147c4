"""Tests of the turns of connections, without sockets."""

from datetime import timedelta

from foxtailseam.clocks import ManualClock
from foxtailseam.http._work_schedule import (
    MAX_SLICE_SECONDS,
    MAX_TURN_SECONDS,
    WorkSchedule,
)


class StubWorker:
    """Worker with some steps that take some time each; `log` keeps their order."""

    def __init__(self, name, clock, log, steps=1, seconds=0.0):
        self.name = name
        self.clock = clock
        self.log = log
        self.steps = steps
        self.seconds = seconds
        self.is_aborted = False

    def work(self, end):
        self.log.append(self.name)
        self.clock.advance(timedelta(seconds=self.seconds))
        self.steps -= 1
        return self.steps > 0

    def abort(self):
        self.is_aborted = True


class FailingWorker(StubWorker):
    def work(self, end):
        raise ValueError("odd data")


class Loop:
    """Schedule whose iterations the test runs."""

    def __init__(self):
        self.clock = ManualClock()
        self.errors = []
        self.calls = []
        self.log = []
        self.schedule = WorkSchedule(self.clock, self.errors.append, self.calls.append)

    def worker(self, name, steps=1, seconds=0.0, kind=StubWorker):
        worker = kind(name, self.clock, self.log, steps, seconds)
        self.schedule.add(worker)
        return worker

    def iterate(self):
        calls, self.calls[:] = list(self.calls), []
        for call in calls:
            call()


class TestTurns:
    # Guards against: one connection with much work keeps the others waiting.
    def test_connections_alternate(self):
        loop = Loop()
        loop.worker("a", steps=3)
        loop.worker("b", steps=2)
        loop.iterate()
        assert loop.log == ["a", "b", "a", "b", "a"]

    # Guards against: an iteration of the event loop that takes seconds.
    def test_an_iteration_ends_in_time_and_the_next_goes_on(self):
        loop = Loop()
        for name in range(100):
            loop.worker(name, steps=100, seconds=MAX_SLICE_SECONDS)
        loop.iterate()
        shares = round(MAX_TURN_SECONDS / MAX_SLICE_SECONDS)
        assert shares <= len(loop.log) <= shares + 1
        first = len(loop.log)
        loop.iterate()
        assert loop.log[first] == first

    def test_a_connection_that_is_added_twice_works_once(self):
        loop = Loop()
        loop.schedule.add(loop.worker("a"))
        loop.iterate()
        assert loop.log == ["a"]

    def test_a_closed_connection_does_not_work(self):
        loop = Loop()
        loop.schedule.discard(loop.worker("a"))
        loop.iterate()
        assert not loop.log
        assert not loop.calls

    # Guards against: the failure of one connection stops all of them.
    def test_a_failure_closes_one_connection(self):
        loop = Loop()
        failing = loop.worker("a", kind=FailingWorker)
        loop.worker("b")
        loop.iterate()
        assert failing.is_aborted
        assert len(loop.errors) == 1
        assert loop.log == ["b"]

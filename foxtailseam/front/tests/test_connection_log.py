"""Tests of the events of connections that meet a limit."""

from datetime import timedelta
from types import SimpleNamespace

from foxtailseam.clocks import ManualClock
from foxtailseam.front._connection_log import PEER_COUNTER, ConnectionLog
from foxtailseam.http import BufferSpace, ListenerLimits
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics


class StubLog:
    def __init__(self):
        self.events = []

    def write(self, code, **facts):
        self.events.append((code, facts))


class Checks:
    """A connection log with one listener, whose figures a test sets."""

    def __init__(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.log = StubLog()
        self.listener = SimpleNamespace(
            closed_at_limit=0, limits=ListenerLimits(), queued_requests=BufferSpace(5)
        )
        listeners = {"caller": self.listener}
        self.subject = ConnectionLog(listeners, self.log, self.metrics, self.clock)

    def codes(self):
        self.subject.check()
        codes = [code for code, _ in self.log.events]
        self.log.events.clear()
        return codes


class TestConnectionLog:
    def test_nothing_is_written_without_a_cause(self):
        assert Checks().codes() == []

    # Guards against: those who connect fill the log.
    def test_closed_connections_are_counted_in_few_events(self):
        checks = Checks()
        checks.listener.closed_at_limit = 7
        assert checks.codes() == [EventCode.CONNECTIONS_CLOSED]
        checks.listener.closed_at_limit = 9
        assert checks.codes() == []
        checks.clock.advance(timedelta(seconds=1))
        assert checks.codes() == [EventCode.CONNECTIONS_CLOSED]
        assert checks.metrics.count("caller_connections_closed") == 9

    def test_connections_of_other_hosts(self):
        checks = Checks()
        checks.metrics.add(PEER_COUNTER, 2)
        assert checks.codes() == [EventCode.PEER_CONNECTIONS_CLOSED]

    def test_requests_that_stay_unread(self):
        checks = Checks()
        checks.listener.queued_requests.reserve(5)
        assert checks.codes() == [EventCode.REQUESTS_HELD]

"""Tests of what becomes of a request whose handling raises."""

import json
import os
from types import SimpleNamespace

from foxtailseam.clocks import ManualClock
from foxtailseam.front._request_guard import RequestGuard
from foxtailseam.front._running_requests import RunningRequests
from foxtailseam.http import Call, HttpRequest
from foxtailseam.logs import LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.platform import REQUEST_ID_HEADER
from foxtailseam.supervision import FailureLog


class Query:
    def __init__(self):
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True
        raise ValueError("the cancellation fails, too")


class Harness:
    def __init__(self):
        clock = ManualClock()
        self.running = RunningRequests()
        self.discarded = []
        self.responses = []
        self.metrics = Metrics()
        self._reader, writer = os.pipe()
        self.log = LogWriter(writer, "host", clock)
        self.guard = RequestGuard(
            self.running,
            FailureLog(self.log, self.metrics, clock),
            lambda *admission: self.discarded.append(admission),
        )
        headers = ((REQUEST_ID_HEADER, b"abc"),)
        request = HttpRequest(b"GET", b"/", headers, b"", 0.0)
        connection = SimpleNamespace(respond=self.responses.append)
        self.call = Call(request, connection)

    def events(self):
        self.log.flush()
        return [json.loads(line) for line in os.read(self._reader, 9999).splitlines()]


class TestRequestGuard:
    def test_a_request_in_progress_is_answered_and_forgotten(self):
        harness = Harness()
        routed, query = SimpleNamespace(call=harness.call), Query()
        harness.running.add(routed, query)
        harness.guard.run(harness.call, lambda: 1 / 0)
        assert [response.status for response in harness.responses] == [502]
        assert not len(harness.running)
        assert query.is_cancelled
        assert harness.discarded == [(routed, query)]
        events = harness.events()
        assert {(event["event"], event["request"]) for event in events} == {
            (339, "abc")
        }
        assert {event["error"] for event in events} == {
            "ZeroDivisionError",
            "ValueError",
        }
        assert harness.metrics.count("request_errors") == 2

    def test_a_request_that_was_answered_gets_no_second_response(self):
        harness = Harness()

        def respond_and_fail():
            harness.call.respond("first")
            raise ValueError

        harness.guard.run(harness.call, respond_and_fail)
        assert harness.responses == ["first"]

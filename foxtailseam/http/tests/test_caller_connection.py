"""Tests of a caller's connection without a network: any bytes in any pieces."""

import itertools
import socket
from datetime import timedelta
from types import SimpleNamespace

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.http import BufferSpace, HttpResponse, ListenerLimits
from foxtailseam.http._caller_connection import CallerConnection
from foxtailseam.http._connection_use import UseKind
from foxtailseam.http._work_schedule import WorkSchedule

LIMITS = ListenerLimits(header_bytes=2_000, body_bytes=1_000, buffered_bytes=3_000)
LONGEST_TIMEOUT = timedelta(seconds=16)
UPGRADE = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n"
)
SOCKET = socket.socket()


class StubTransport:
    """Keeps what is written; a write after the close is an error."""

    def __init__(self):
        self.written = b""
        self.is_closed = False
        self.is_ended = False
        self.is_paused = False

    def get_extra_info(self, name):
        return SOCKET

    def write(self, data):
        assert not self.is_closed
        assert not self.is_ended
        self.written += data

    def write_eof(self):
        self.is_ended = True

    def get_write_buffer_size(self):
        return 0

    def close(self):
        self.is_closed = True

    def is_closing(self):
        return self.is_closed

    def is_reading(self):
        return not self.is_paused

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class ResponseCounter:
    """Statuses of the responses in what was written."""

    def __init__(self, written):
        self.statuses = []
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(written)

    def on_message_complete(self):
        if self._parser.get_status_code() >= 200:
            self.statuses.append(self._parser.get_status_code())


class Connection:
    """A connection with stubs; `answers` tells which calls are answered at once."""

    def __init__(self, answers=()):
        self.clock = ManualClock()
        self.calls = []
        self.answers = iter(answers)
        self.rejected = []
        self.turns = []
        self.header_space = BufferSpace()
        owner = SimpleNamespace(
            clock=self.clock,
            limits=LIMITS,
            handler=self.handle,
            on_rejected=self.rejected.append,
            is_draining=False,
            header_space=self.header_space,
            unsent_space=BufferSpace(),
            queued_requests=BufferSpace(),
            schedule=WorkSchedule(self.clock, self.fail, self.turns.append),
            make_unsent_space=lambda size: True,
            reserve=lambda size: True,
            release=lambda size: None,
            opened=lambda connection: None,
            closed=lambda connection: None,
        )
        self.transport = StubTransport()
        self.connection = CallerConnection(owner)
        self.connection.connection_made(self.transport)

    def handle(self, call):
        self.calls.append(call)
        if next(self.answers, True):
            call.respond(HttpResponse(200))

    def fail(self, error):
        raise error

    def receive(self, data):
        if not self.transport.is_closed:
            self.connection.data_received(data)
        self.take_turns()

    def take_turns(self):
        while self.turns:
            self.turns.pop()()

    def end(self):
        """Answer what is open and let all timeouts pass."""
        # Answered calls can be followed by others, so the list may grow.
        for call in self.calls:
            call.respond(HttpResponse(200))
            self.take_turns()
        # A request that times out is rejected, and then its connection lingers.
        for _ in range(2):
            self.clock.advance(LONGEST_TIMEOUT)
            if not self.transport.is_closed:
                self.connection.enforce_timeouts(self.clock.monotonic())


def request_bytes(method, number, body, is_chunked, asks_for_upgrade):
    head = b"%b /%d HTTP/1.1\r\nHost: a\r\n" % (method, number)
    if asks_for_upgrade:
        head += UPGRADE
    if is_chunked:
        chunks = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    if body:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def pieces(data, cuts):
    bounds = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return [data[start:end] for start, end in itertools.pairwise(bounds) if end > start]


class TestUse:
    # Guards against: a running request is cut off at the limit of connections, as its
    # caller has not read the response before it.
    def test_a_running_request_counts_although_responses_are_unread(self):
        tested = Connection(answers=[True, False])
        tested.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        tested.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        connection = tested.connection
        connection.stalled_time = lambda now: 60.0
        now = tested.clock.monotonic()
        assert connection.current_use(now).kind is UseKind.SERVING
        tested.calls[1].respond(HttpResponse(200))
        assert connection.current_use(now).kind is UseKind.STALLED


class TestUpgrade:
    def test_request_that_follows_one_with_an_upgrade_is_served(self):
        connection = Connection()
        for number in range(3):
            connection.receive(request_bytes(b"GET", number, b"", False, number == 0))
        targets = [call.request.target for call in connection.calls]
        assert targets == [b"/0", b"/1", b"/2"]
        assert not connection.transport.is_closed
        connection.end()
        assert connection.transport.is_closed

    @pytest.mark.parametrize("is_chunked", [False, True])
    def test_body_of_a_request_with_an_upgrade_is_not_lost(self, is_chunked):
        connection = Connection()
        connection.receive(request_bytes(b"POST", 1, b"abc", is_chunked, True))
        (call,) = connection.calls
        assert call.request.body == b"abc"

    def test_arrival_of_a_request_with_an_upgrade_is_that_of_its_first_byte(self):
        connection = Connection()
        data = request_bytes(b"GET", 1, b"", False, True)
        connection.receive(data[:20])
        connection.clock.advance(timedelta(seconds=1))
        connection.receive(data[20:])
        assert connection.calls[0].request.arrived_at == 0.0

    def test_connect_is_rejected(self):
        connection = Connection()
        connection.receive(
            b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n"
        )
        assert connection.rejected == [400]
        assert connection.transport.is_ended
        connection.end()
        assert connection.transport.is_closed
        assert not connection.calls

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([b"GET", b"POST"]),
                st.binary(max_size=40),
                st.booleans(),
                st.booleans(),
            ),
            max_size=6,
        ),
        st.lists(st.integers(0, 900), max_size=8),
        st.lists(st.booleans(), max_size=6),
    )
    def test_requests_are_read_as_sent_in_any_pieces(self, requests, cuts, answers):
        connection = Connection(answers)
        data = b"".join(
            request_bytes(method, number, *rest)
            for number, (method, *rest) in enumerate(requests)
        )
        for piece in pieces(data, cuts):
            connection.receive(piece)
        connection.end()
        read = [
            (call.request.method, call.request.target, call.request.body)
            for call in connection.calls
        ]
        assert read == [
            (method, b"/%d" % number, body)
            for number, (method, body, _, _) in enumerate(requests)
        ]
        statuses = ResponseCounter(connection.transport.written).statuses
        assert statuses == [200] * len(requests)


FRAGMENTS = [
    *(
        request_bytes(b"POST", 1, body, is_chunked, asks_for_upgrade)
        for body in (b"", b"abc")
        for is_chunked in (False, True)
        for asks_for_upgrade in (False, True)
    ),
    b"GET / HTTP/1.1\r\n",
    b"POST /a HTTP/1.0\r\n",
    b"CONNECT a:80 HTTP/1.1\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"Host: a\r\n",
    UPGRADE,
    b"Connection: close\r\n",
    b"Expect: 100-continue\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 99999999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"\r\n",
    b"abc",
    b"X: " + b"x" * 1_500 + b"\r\n",
    b"y" * 1_200,
]


class TestAnyBytes:
    @settings(max_examples=500)
    @given(
        st.lists(st.sampled_from(FRAGMENTS) | st.binary(max_size=8), max_size=30),
        st.lists(st.integers(0, 4_000), max_size=8),
        st.lists(st.booleans(), max_size=8),
        st.booleans(),
    )
    def test_connection_ends_and_no_call_is_left(self, parts, cuts, answers, drains):
        connection = Connection(answers)
        for piece in pieces(b"".join(parts), cuts):
            connection.receive(piece)
        connection.connection.listener.is_draining = drains
        connection.end()
        assert connection.transport.is_closed
        assert not any(call.is_open for call in connection.calls)
        assert len(connection.rejected) <= 1
        answered = len(ResponseCounter(connection.transport.written).statuses)
        assert answered == len(connection.calls) + len(connection.rejected)
        connection.connection.connection_lost(None)
        assert connection.header_space.reserved == 0

    def test_many_pipelined_requests_do_not_nest(self):
        connection = Connection(itertools.chain([False], itertools.repeat(True)))
        connection.receive(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 2_000)
        connection.end()
        assert len(connection.calls) == 2_000

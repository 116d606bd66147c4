"""Tests of responses that are cut at any byte: none may look complete."""

from dataclasses import dataclass
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import SystemClock
from foxtailseam.http import (
    BufferSpace,
    ExchangeFailure,
    FailureKind,
    PoolSettings,
    Received,
    UpstreamConnection,
    _upstream_connection,
)
from foxtailseam.http._upstream_connection import ConnectionState

IDENTIFIER = b"0011"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
SECOND = timedelta(seconds=1)
SETTINGS = PoolSettings("127.0.0.1:9", 4, SECOND, SECOND, b"request-id")
FIELDS = b"Request-Id: 0011\r\nStamp: 3e1b.07\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
LATE = b"HTTP/1.1 200 OK\r\nRequest-Id: 0099\r\nContent-Length: 5\r\n\r\nother"
LATE_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 0099\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nother\r\n0\r\n\r\n"
)
RESET = ConnectionResetError(104, "reset")


@dataclass(frozen=True)
class Answer:
    """Bytes of a response and what its own framing says of its end."""

    before: bytes
    head: bytes
    rest: bytes = b""
    body: bytes = b""
    ends_at_close: bool = False
    is_head: bool = False

    @property
    def data(self):
        return self.before + self.head + self.rest

    def is_complete(self, size, error):
        """Return whether its first `size` bytes and the end make it complete."""
        if self.ends_at_close:
            return size >= len(self.before + self.head) and error is None
        return size >= len(self.data)


def head(status, fields=b"", version=b"HTTP/1.1"):
    return version + b" %d Some Reason\r\n" % status + FIELDS + fields + b"\r\n"


def chunked(body, size, extension=b"", trailer=b""):
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    lines = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(lines) + b"0" + extension + b"\r\n" + trailer + b"\r\n"


def answers(before, status, body, size):
    """Return responses with the same body and each kind of framing."""
    length = b"Content-Length: %d\r\n" % len(body)
    chunks = b"Transfer-Encoding: chunked\r\n"
    trailer = b"Request-Id: 0099\r\nStamp: other\r\n"
    return [
        Answer(before, head(status, length), body, body),
        Answer(before, head(status, chunks), chunked(body, size), body),
        Answer(
            before, head(status, chunks), chunked(body, size, b";a=b", trailer), body
        ),
        Answer(before, head(status), body, body, ends_at_close=True),
        Answer(before, head(status, b"", b"HTTP/1.0"), body, body, ends_at_close=True),
        Answer(before, head(status, length), is_head=True),
        Answer(before, head(204)),
        Answer(before, head(304, length)),
    ]


ANSWERS = [
    answer
    for before in (b"", INTERIM, LATE, LATE_CHUNKED + INTERIM)
    for answer in answers(before, 200, b"the whole body", 5)
]


class FakeSocket:
    """Socket on which the test decides what arrives."""

    unsent_bytes = 0

    def __init__(self, *_):
        self.is_closed = False

    def write(self, payload):
        pass

    def close(self):
        self.is_closed = True


@pytest.fixture(autouse=True, scope="module")
def fake_socket():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_upstream_connection, "ClientSocket", FakeSocket)
        yield


def open_connection():
    connection = UpstreamConnection(
        SETTINGS,
        SystemClock(),
        lambda connection: None,
        lambda connection, failure: None,
        SECOND,
        BufferSpace(),
    )
    connection.on_connected()
    return connection


def exchange(connection, answer, pieces, error):
    """Send a request, receive pieces and the end; return the results."""
    results = []
    connection.send(REQUEST, IDENTIFIER, answer.is_head, results.append)
    for piece in pieces:
        if piece and not connection._socket.is_closed:
            connection.on_data(piece)
    if not connection._socket.is_closed:
        connection.on_end(error)
    return results


def check(answer, size, error, results):
    (result,) = results
    if answer.is_complete(size, error):
        assert isinstance(result, Received)
        expected = answer.body
        if answer.ends_at_close:
            expected = answer.data[len(answer.before + answer.head) : size]
        assert result.response.body == expected
    else:
        assert isinstance(result, ExchangeFailure)
        assert result.kind in (FailureKind.CLOSED, FailureKind.RESET)


class TestEveryCut:
    @pytest.mark.parametrize("error", [None, RESET], ids=["closed", "reset"])
    @pytest.mark.parametrize("answer", ANSWERS)
    def test_a_response_is_received_only_if_it_was_complete(self, answer, error):
        for size in range(len(answer.data) + 1):
            results = exchange(open_connection(), answer, [answer.data[:size]], error)
            check(answer, size, error, results)

    @pytest.mark.parametrize("answer", ANSWERS)
    def test_the_second_response_of_a_connection_is_no_exception(self, answer):
        first = ANSWERS[0]
        for size in range(len(answer.data) + 1):
            connection = open_connection()
            done = []
            connection.send(REQUEST, IDENTIFIER, False, done.append)
            connection.on_data(first.data)
            assert done[0].response.body == first.body
            assert connection.state is ConnectionState.IDLE
            results = exchange(connection, answer, [answer.data[:size]], None)
            check(answer, size, None, results)

    @pytest.mark.parametrize("answer", ANSWERS)
    def test_a_response_in_pieces_of_one_byte_is_no_exception(self, answer):
        for size in range(len(answer.data) + 1):
            pieces = [answer.data[i : i + 1] for i in range(size)]
            check(answer, size, None, exchange(open_connection(), answer, pieces, None))


class TestAnyCut:
    @given(st.data())
    def test_a_response_is_received_only_if_it_was_complete(self, data):
        before = b"".join(
            data.draw(st.lists(st.sampled_from([INTERIM, LATE, LATE_CHUNKED])))
        )
        body = data.draw(st.binary(min_size=1, max_size=60))
        status = data.draw(st.sampled_from([200, 206, 404, 500, 503]))
        size = data.draw(st.integers(1, 20))
        answer = data.draw(st.sampled_from(answers(before, status, body, size)))
        cut = data.draw(st.integers(0, len(answer.data)))
        places = data.draw(st.lists(st.integers(0, cut)))
        edges = [0, *sorted(places), cut]
        pieces = [
            answer.data[start:end] for start, end in zip(edges, edges[1:], strict=False)
        ]
        error = data.draw(st.sampled_from([None, RESET]))
        results = exchange(open_connection(), answer, pieces, error)
        check(answer, cut, error, results)

    @given(st.lists(st.binary(max_size=80), max_size=8))
    def test_arbitrary_bytes_end_an_exchange_once(self, pieces):
        answer = Answer(b"", b"")
        results = exchange(open_connection(), answer, pieces, None)
        assert len(results) == 1

    @given(st.binary(max_size=200), st.integers(0, 200))
    def test_garbage_after_a_complete_response_belongs_to_none(self, garbage, place):
        answer = ANSWERS[0]
        connection = open_connection()
        data = answer.data + garbage
        split = min(len(data), len(answer.data) + place)
        results = exchange(connection, answer, [data[:split], data[split:]], None)
        check(answer, len(answer.data), None, results)
        if split > len(answer.data) and garbage.strip(b"\r\n"):
            assert connection.state is ConnectionState.CLOSED

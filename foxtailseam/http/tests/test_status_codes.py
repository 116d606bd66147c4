"""Tests of responses whose status is not one of the protocol."""

import pytest

from foxtailseam.http import ExchangeFailure, FailureKind, Received
from foxtailseam.http._upstream_connection import ConnectionState
from foxtailseam.http.tests.test_cut_responses import (
    FIELDS,
    IDENTIFIER,
    INTERIM,
    REQUEST,
    fake_socket,
    open_connection,
)

__all__ = ["fake_socket"]

INVALID = [b"000", b"001", b"099", b"600", b"999", b"0200", b"20", b"2x0", b"-00", b""]
FINAL = [200, 299, 404, 500, 599]
FRAMINGS = [
    b"Content-Length: 2\r\n\r\nhi",
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    b"\r\nhi",
]


def receive(data, size, is_head=False):
    """Receive bytes in pieces of a size; return the connection and the results."""
    connection = open_connection()
    results = []
    connection.send(REQUEST, IDENTIFIER, is_head, results.append)
    for start in range(0, len(data), size):
        if not connection._socket.is_closed:
            connection.on_data(data[start : start + size])
    return connection, results


class TestInvalidStatus:
    # Guards against: a status below 100 counts as interim, so that the exchange waits
    # for a final response that does not come; one of 600 or more is passed on.
    @pytest.mark.parametrize("is_head", [False, True], ids=["get", "head"])
    @pytest.mark.parametrize("size", [1, 1_000], ids=["bytes", "whole"])
    @pytest.mark.parametrize("rest", FRAMINGS)
    @pytest.mark.parametrize("before", [b"", INTERIM], ids=["first", "after interim"])
    @pytest.mark.parametrize("status", INVALID)
    def test_the_response_is_malformed(self, status, before, rest, size, is_head):
        data = before + b"HTTP/1.1 " + status + b" Some Reason\r\n" + FIELDS + rest
        connection, results = receive(data, size, is_head)
        assert results == [ExchangeFailure(FailureKind.MALFORMED, sent=True)]
        assert connection.state is ConnectionState.CLOSED

    @pytest.mark.parametrize("status", FINAL)
    def test_final_statuses_are_received(self, status):
        data = b"HTTP/1.1 %d Some Reason\r\n" % status + FIELDS + FRAMINGS[0]
        _, (result,) = receive(data, 1_000)
        assert isinstance(result, Received)
        assert result.response.status == status

    def test_after_a_complete_response_the_status_changes_nothing(self):
        first = b"HTTP/1.1 200 OK\r\n" + FIELDS + FRAMINGS[0]
        second = b"HTTP/1.1 999 Odd\r\n" + FIELDS + FRAMINGS[0]
        connection, (result,) = receive(first + second, 1_000)
        assert result.response.body == b"hi"
        assert connection.state is ConnectionState.CLOSED

"""Tests of the bytes and requests that a connection may hold."""

import pytest

from foxtailseam.http import BufferSpace, ReceivedData
from foxtailseam.http._received_data import MAX_UNPROCESSED_BYTES
from foxtailseam.http._request_queue import MAX_QUEUED_REQUESTS, RequestQueue
from foxtailseam.http.tests.test_caller_connection import Connection, StubTransport

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def transport():
    return StubTransport()


@pytest.fixture
def received(transport):
    received = ReceivedData()
    received.attach(transport)
    return received


class TestReceivedData:
    def test_bytes_are_taken_in_order(self, received):
        received.append(b"abc")
        assert received.take(2) == b"ab"
        received.append(b"def")
        assert received.take(10) == b"cdef"
        assert received.take(1) == b""

    # Guards against: a connection that is not read from fills the memory.
    def test_reading_pauses_until_all_is_taken(self, received, transport):
        received.append(b"a" * (MAX_UNPROCESSED_BYTES - 1))
        assert not transport.is_paused
        received.append(b"a")
        assert transport.is_paused
        received.take(MAX_UNPROCESSED_BYTES - 1)
        assert transport.is_paused
        received.take(1)
        assert not transport.is_paused

    def test_clear_reads_on(self, received, transport):
        received.append(b"a" * MAX_UNPROCESSED_BYTES)
        received.clear()
        assert not transport.is_paused
        assert len(received) == 0


class TestRequestQueue:
    def test_all_connections_share_the_space(self):
        space = BufferSpace(3)
        first, second = RequestQueue(space), RequestQueue(space)
        for _ in range(3):
            first.append(None)
        assert not second.has_room
        first.take()
        assert second.has_room
        first.clear()
        assert space.reserved == 0

    def test_one_connection_has_a_bound_of_its_own(self):
        queue = RequestQueue(BufferSpace(100))
        for _ in range(MAX_QUEUED_REQUESTS):
            assert queue.has_room
            queue.append(None)
        assert not queue.has_room


class TestPipelining:
    # Guards against: pipelined requests behind one that runs are all kept as objects.
    def test_few_requests_are_parsed_behind_one_that_runs(self):
        connection = Connection([False])
        connection.receive(REQUEST * 2_000)
        assert len(connection.calls) == 1
        assert connection.connection.in_flight <= 1 + MAX_QUEUED_REQUESTS + 19
        assert connection.transport.is_paused

    # Guards against: the bound on all connections stops one that has no request.
    def test_a_first_request_is_parsed_without_space_for_queued_ones(self):
        connection = Connection()
        connection.connection.listener.queued_requests.limit = 0
        connection.receive(REQUEST * 3)
        assert len(connection.calls) == 3

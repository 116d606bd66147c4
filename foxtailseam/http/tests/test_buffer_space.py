"""Tests of the space that the buffers of connections share."""

import asyncio
import gc
import tracemalloc
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.http import (
    BufferSpace,
    ConnectionPool,
    ExchangeFailure,
    FailureKind,
    PoolSettings,
    Received,
    _response_reader,
)
from foxtailseam.http._buffer_space import Reservation
from foxtailseam.http._client_socket import READ_BYTES

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BODY_BYTES = 300_000
BODY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"a" * BODY_BYTES


@pytest.fixture
def no_garbage_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def serve_large(reader, writer):
    """Answer each request with a body of `BODY_BYTES`."""
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(BODY)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def serve_unread(_reader, writer):
    """Read nothing for a second, and close."""
    await asyncio.sleep(1.0)
    writer.close()


def run(scenario, serve, space):
    """Run a scenario with a pool of connections to a server; return its result."""

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        second = timedelta(seconds=1)
        settings = PoolSettings(f"127.0.0.1:{port}", 64, second, second)
        pool = ConnectionPool(settings, SystemClock(), space)
        try:
            async with asyncio.timeout(10):
                return await scenario(pool)
        finally:
            pool.abort()
            server.close()
            await asyncio.sleep(0.01)

    return asyncio.run(main())


async def ask(pool, payload=REQUEST):
    return await pool.request(payload, timedelta(seconds=5))


class TestReservation:
    def test_what_is_reserved_stays_within_the_limit(self):
        space = BufferSpace(100)
        first, second = Reservation(space), Reservation(space)
        assert first.resize(60)
        assert not second.resize(41)
        assert second.resize(40)
        assert first.resize(50)
        assert (space.reserved, space.available) == (90, 10)

    def test_it_ends_with_what_refers_to_it(self):
        space = BufferSpace(100)
        reservation = Reservation(space)
        reservation.resize(60)
        del reservation
        assert space.reserved == 0


@pytest.mark.usefixtures("no_garbage_collection")
class TestResponsesOfManySearchers:
    def test_together_they_stay_within_the_space(self):
        space = BufferSpace(4 * BODY_BYTES)

        async def scenario(pool):
            results = await asyncio.gather(*[ask(pool) for _ in range(12)])
            return results, space.reserved

        results, reserved = run(scenario, serve_large, space)
        received = [item for item in results if isinstance(item, Received)]
        assert 1 <= len(received) <= 4
        assert all(len(item.response.body) == BODY_BYTES for item in received)
        failed = ExchangeFailure(FailureKind.BUFFER_FULL, sent=True)
        assert results.count(failed) == 12 - len(received)
        # The last part of a response is not reserved before it is complete.
        assert len(received) * (BODY_BYTES - READ_BYTES) <= reserved <= space.limit

    def test_a_response_that_is_no_longer_used_makes_room(self):
        space = BufferSpace(2 * BODY_BYTES)

        async def scenario(pool):
            return [type(await ask(pool)) for _ in range(12)]

        assert run(scenario, serve_large, space) == [Received] * 12
        assert space.reserved == 0

    def test_a_request_that_the_server_does_not_read_takes_space(self):
        space = BufferSpace(50_000_000)
        payload = REQUEST + b"a" * 40_000_000

        async def scenario(pool):
            first = asyncio.create_task(ask(pool, payload))
            await asyncio.sleep(0.1)
            reserved = space.reserved
            second = await ask(pool, payload)
            return reserved, second, await first

        reserved, second, first = run(scenario, serve_unread, space)
        assert reserved > 25_000_000
        assert second == ExchangeFailure(FailureKind.BUFFER_FULL, sent=True)
        assert first.kind is not FailureKind.BUFFER_FULL
        assert space.reserved == 0


@pytest.mark.usefixtures("no_garbage_collection")
class TestFreedMemory:
    def test_a_response_that_is_too_large_is_freed_at_once(self, monkeypatch):
        monkeypatch.setattr(_response_reader, "MAX_RESPONSE_BYTES", 200_000)

        async def scenario(pool):
            assert (await ask(pool)).kind is FailureKind.TOO_LARGE
            tracemalloc.start()
            for _ in range(20):
                await ask(pool)
            size = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            return size

        assert run(scenario, serve_large, BufferSpace()) < 400_000

    def test_an_idle_connection_does_not_keep_its_last_response(self):
        async def scenario(pool):
            tracemalloc.start()
            statuses = []
            for _ in range(12):
                pool.send(
                    lambda: REQUEST,
                    b"",
                    False,
                    lambda result: statuses.append(result.response.status),
                )
            while len(statuses) < 12:
                await asyncio.sleep(0.01)
            size = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            return size

        assert run(scenario, serve_large, BufferSpace()) < 2 * BODY_BYTES

"""Tests of what a searcher can send in response to one request, and what it takes."""

import asyncio
import contextlib
import tracemalloc
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.http import (
    ConnectionPool,
    ExchangeFailure,
    FailureKind,
    PoolSettings,
    Received,
    _response_reader,
)

IDENTIFIER = b"0011"
ECHO = b"Request-Id: 0011\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + ECHO
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
LATE = b"HTTP/1.1 200 OK\r\nRequest-Id: 0099\r\nContent-Length: 1\r\n\r\nx"
# Longest time until the server's bytes have to be over the limit, in seconds.
EXCHANGE_SECONDS = 20.0
# Bytes that the server passes to its transport at once.
WRITE_BYTES = 64 * 1024

# What a server sends first, and then again and again.
ENDLESS_FRAMING = {
    "header fields": (HEAD, b"x-a: b\r\n"),
    "header line": (HEAD + b"X-A: ", b"a"),
    "header name": (HEAD, b"a"),
    "reason phrase": (b"HTTP/1.1 200 ", b"O"),
    "interim responses": (b"", INTERIM),
    "fields of an interim response": (INTERIM[:-2], b"x-a: b\r\n"),
    "late responses": (b"", LATE),
    "chunk extension": (CHUNKED + b"2;a=", b"b"),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: b\r\n"),
    "trailer line": (CHUNKED + b"0\r\nX-A: ", b"a"),
}
ENDLESS_BODIES = {
    "body without length": (HEAD + b"\r\n", b"a" * 4096),
    "chunks": (CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "late body": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: 0099\r\nContent-Length: 99999999999\r\n\r\n",
        b"a" * 4096,
    ),
}


def exchange(start, repeated, seconds=EXCHANGE_SECONDS):
    """Send a request to a server that repeats bytes until its caller closes.

    Without bytes to repeat it sends the first ones alone. Returns the result and the
    peak of the allocated memory in bytes.
    """

    handled = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        # Much of this would be memory of the server.
        writer.transport.set_write_buffer_limits(high=WRITE_BYTES)
        writer.write(start)
        block = repeated * (WRITE_BYTES // max(1, len(repeated)))
        with contextlib.suppress(ConnectionError):
            while block:
                writer.write(block)
                await writer.drain()
            await reader.read()
        writer.close()
        handled.set()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        second = timedelta(seconds=1)
        settings = PoolSettings(f"127.0.0.1:{port}", 4, second, second, b"request-id")
        pool = ConnectionPool(settings, SystemClock())
        done = asyncio.get_running_loop().create_future()
        pool.send(lambda: REQUEST, IDENTIFIER, False, done.set_result)
        tracemalloc.start()
        try:
            async with asyncio.timeout(seconds):
                result = await done
            return result, tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            pool.abort()
            server.close()
            await handled.wait()

    return asyncio.run(main())


class TestEndlessResponse:
    # Guards against: a head, or other framing, without end that fills the memory.
    @pytest.mark.parametrize("kind", ENDLESS_FRAMING)
    def test_a_response_whose_framing_does_not_end_takes_little_memory(self, kind):
        result, peak = exchange(*ENDLESS_FRAMING[kind])
        assert isinstance(result, ExchangeFailure)
        assert result.kind in (FailureKind.TOO_LARGE, FailureKind.MALFORMED)
        assert result.sent
        assert peak < 4_000_000

    @pytest.mark.parametrize("kind", ENDLESS_BODIES)
    def test_a_body_that_does_not_end_takes_its_limit(self, kind):
        result, peak = exchange(*ENDLESS_BODIES[kind])
        assert result == ExchangeFailure(FailureKind.TOO_LARGE, sent=True)
        assert peak < 20_000_000

    def test_a_body_in_chunks_of_two_bytes_takes_no_multiple_of_its_size(
        self, monkeypatch
    ):
        monkeypatch.setattr(_response_reader, "MAX_RESPONSE_BYTES", 1_000_000)
        result, peak = exchange(CHUNKED, b"2\r\nab\r\n")
        assert result == ExchangeFailure(FailureKind.TOO_LARGE, sent=True)
        assert peak < 4_000_000


class TestLargeResponse:
    @pytest.mark.parametrize(
        "head",
        [
            HEAD + b"X-A: " + b"a" * 65_536 + b"\r\n",
            HEAD + b"".join(b"X-%03d: %0300d\r\n" % (i, i) for i in range(200)),
        ],
        ids=["one line", "200 lines"],
    )
    def test_a_head_of_64_kilobytes_is_received(self, head):
        result, _ = exchange(head + b"Content-Length: 2\r\n\r\nok", b"")
        assert isinstance(result, Received)
        assert result.response.body == b"ok"

    def test_a_body_in_chunks_of_one_byte_is_received(self):
        result, _ = exchange(CHUNKED + b"1\r\na\r\n" * 100_000 + b"0\r\n\r\n", b"")
        assert isinstance(result, Received)
        assert result.response.body == b"a" * 100_000

    def test_late_responses_before_the_expected_one_do_not_count_as_its_body(self):
        late = LATE.replace(b"Length: 1", b"Length: 5000000")[:-1] + b"x" * 5_000_000
        own = HEAD + b"Content-Length: 5000000\r\n\r\n" + b"o" * 5_000_000
        result, _ = exchange(late + own, b"")
        assert isinstance(result, Received)
        assert result.response.body == b"o" * 5_000_000

    def test_a_trailer_is_no_header(self):
        end = b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n"
        result, _ = exchange(CHUNKED + end, b"")
        assert isinstance(result, Received)
        assert b"X-Late" not in [name for name, _ in result.response.headers]


class TestSwitchOfProtocols:
    def test_a_searcher_that_switches_protocols_does_not_hold_its_request(self):
        head = b"HTTP/1.1 101 Switching Protocols\r\n"
        upgrade = head + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        result, _ = exchange(upgrade, b"", seconds=3.0)
        assert result == ExchangeFailure(FailureKind.MALFORMED, sent=True)

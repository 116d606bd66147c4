"""Tests of connections to searchers, with scripted faulty responses."""

import asyncio
import errno
import socket
import struct
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.http import (
    ConnectionPool,
    ExchangeFailure,
    FailureKind,
    PoolSettings,
    Received,
)
from foxtailseam_bench._processes import unaccepting_address

IDENTIFIER = b"0011"
ECHO = b"Request-Id: 0011\r\n"
OTHER_ECHO = b"Request-Id: 0099\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\n" + ECHO + b"Content-Length: 2\r\n\r\nok"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\n" + OTHER_ECHO + b"Content-Length: 5\r\n\r\nother"
RESET = object()
CLOSE = object()


def close_with_reset(writer):
    """Close with RST instead of FIN, by a linger time of zero."""
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class ScriptedSearcher:
    """Server that answers each request with the next list of steps.

    A step is bytes to send, seconds to wait, `CLOSE` or `RESET`.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.requests = []

    async def __call__(self, reader, writer):
        self.connections += 1
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                for step in (
                    self.scripts.pop(0) if self.scripts else [COMPLETE_RESPONSE]
                ):
                    if step is RESET:
                        await writer.drain()
                        close_with_reset(writer)
                        return
                    if step is CLOSE:
                        writer.close()
                        return
                    if isinstance(step, float):
                        await asyncio.sleep(step)
                    else:
                        writer.write(step)
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
        ):
            writer.close()


def run_exchanges(*scripts, requests=1, payload=REQUEST, pause=0.02):
    """Send requests one after the other; return their results and the searcher."""

    async def main():
        searcher = ScriptedSearcher(*scripts)
        server = await asyncio.start_server(searcher, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(settings(port), SystemClock())
        results = []
        for _ in range(requests):
            done = asyncio.get_running_loop().create_future()
            pool.send(lambda: payload, IDENTIFIER, False, done.set_result)
            results.append(await asyncio.wait_for(done, 3))
            await asyncio.sleep(pause)
        pool.abort()
        server.close()
        return results, searcher

    return asyncio.run(main())


def settings(port):
    second = timedelta(seconds=1)
    return PoolSettings(f"127.0.0.1:{port}", 4, second, second, b"request-id")


class TestResponses:
    @pytest.mark.parametrize(
        "steps",
        [
            [COMPLETE_RESPONSE],
            [
                COMPLETE_RESPONSE[:20],
                0.01,
                COMPLETE_RESPONSE[20:60],
                0.01,
                COMPLETE_RESPONSE[60:],
            ],
            [
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                + ECHO
                + b"\r\n1\r\no\r\n",
                0.01,
                b"1\r\nk\r\n0\r\n\r\n",
            ],
            [b"HTTP/1.1 200 OK\r\n" + ECHO + b"\r\nok", CLOSE],
            [b"HTTP/1.1 100 Continue\r\n\r\n", COMPLETE_RESPONSE],
            [OTHER_RESPONSE, COMPLETE_RESPONSE],
            [COMPLETE_RESPONSE + b"garbage"],
            [COMPLETE_RESPONSE + OTHER_RESPONSE],
        ],
        ids=[
            "whole",
            "pieces",
            "chunked",
            "until close",
            "informational first",
            "another's response first",
            "garbage after",
            "another's response after",
        ],
    )
    def test_matching_response_is_received_completely(self, steps):
        (result,), _ = run_exchanges(steps)
        assert isinstance(result, Received)
        assert result.response.body == b"ok"

    @pytest.mark.parametrize(
        ("steps", "kind"),
        [
            ([CLOSE], FailureKind.CLOSED),
            ([RESET], FailureKind.RESET),
            ([COMPLETE_RESPONSE[:-1], CLOSE], FailureKind.CLOSED),
            ([COMPLETE_RESPONSE[:-1], RESET], FailureKind.RESET),
            (
                [b"HTTP/1.1 200 OK\r\n" + ECHO + b"\r\nok", 0.02, RESET],
                FailureKind.RESET,
            ),
            ([b"not http at all\r\n\r\n"], FailureKind.MALFORMED),
            ([OTHER_RESPONSE, CLOSE], FailureKind.CLOSED),
            (
                [
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    + ECHO
                    + b"\r\n5\r\nab",
                    CLOSE,
                ],
                FailureKind.CLOSED,
            ),
            ([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", CLOSE], None),
        ],
        ids=[
            "closed",
            "reset",
            "short",
            "short and reset",
            "until close but reset",
            "malformed",
            "only another's",
            "chunks cut",
            "success without identifier",
        ],
    )
    def test_other_outcomes_are_failures_of_a_sent_request(self, steps, kind):
        (result,), _ = run_exchanges(steps)
        assert isinstance(result, ExchangeFailure)
        assert result.sent
        assert kind in (None, result.kind)

    def test_refused_connection_is_a_failure_of_an_unsent_request(self):
        async def main():
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            pool = ConnectionPool(settings(port), SystemClock())
            done = asyncio.get_running_loop().create_future()
            pool.send(lambda: REQUEST, IDENTIFIER, False, done.set_result)
            return await asyncio.wait_for(done, 3)

        assert asyncio.run(main()) == ExchangeFailure(FailureKind.REFUSED, sent=False)

    def test_no_free_descriptor_is_a_failure_of_an_unsent_request(self, monkeypatch):
        async def main():
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(settings(9), SystemClock())
            done = loop.create_future()

            def fail(*_):
                raise OSError(errno.EMFILE, "too many open files")

            with monkeypatch.context() as patch:
                patch.setattr(socket, "socket", fail)
                pool.send(lambda: REQUEST, IDENTIFIER, False, done.set_result)
            return await asyncio.wait_for(done, 3), pool.size

        result, size = asyncio.run(main())
        assert result == ExchangeFailure(FailureKind.REFUSED, sent=False)
        assert size == 0

    def test_connection_that_never_opens_is_a_failure_of_an_unsent_request(self):
        async def main():
            with unaccepting_address() as address:
                port = int(address.rpartition(":")[2])
                pool = ConnectionPool(settings(port), SystemClock())
                done = asyncio.get_running_loop().create_future()
                pool.send(lambda: REQUEST, IDENTIFIER, False, done.set_result)
                return await asyncio.wait_for(done, 3), pool.size

        result, size = asyncio.run(main())
        assert result == ExchangeFailure(FailureKind.CONNECT_TIMEOUT, sent=False)
        assert size == 0


class TestReuse:
    def test_clean_connection_is_reused(self):
        _, searcher = run_exchanges(requests=3)
        assert searcher.connections == 1

    @pytest.mark.parametrize(
        "steps",
        [
            [b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + COMPLETE_RESPONSE[17:]],
            [COMPLETE_RESPONSE + b"x"],
            [COMPLETE_RESPONSE, 0.005, b"late"],
            [COMPLETE_RESPONSE + OTHER_RESPONSE],
            [OTHER_RESPONSE, COMPLETE_RESPONSE],
            [b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n" + COMPLETE_RESPONSE[17:]],
        ],
        ids=["close", "extra byte", "late byte", "second", "first", "no idle time"],
    )
    def test_connection_in_doubt_is_not_reused(self, steps):
        results, searcher = run_exchanges(steps, requests=2)
        assert all(result.response.body == b"ok" for result in results)
        assert searcher.connections == 2

    def test_connection_with_an_early_response_is_not_reused(self):
        body = b"a" * 30_000_000
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        results, searcher = run_exchanges(
            [COMPLETE_RESPONSE, 0.2], requests=2, payload=head + body, pause=0.0
        )
        assert results[0].response.body == b"ok"
        assert searcher.connections == 2


class TestCancel:
    def test_cancel_closes_the_connection(self):
        async def main():
            closed = asyncio.Event()

            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                await reader.read()
                closed.set()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            pool = ConnectionPool(settings(port), SystemClock())
            results = []
            exchange = pool.send(lambda: REQUEST, IDENTIFIER, False, results.append)
            await asyncio.sleep(0.1)
            assert exchange.is_sent
            exchange.cancel()
            await asyncio.wait_for(closed.wait(), 2)
            server.close()
            return results, pool.size

        assert asyncio.run(main()) == ([], 0)

    def test_request_cancelled_while_connecting_is_never_sent(self):
        async def main():
            searcher = ScriptedSearcher()
            server = await asyncio.start_server(searcher, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            pool = ConnectionPool(settings(port), SystemClock())
            exchange = pool.send(lambda: REQUEST, IDENTIFIER, False, lambda _: None)
            assert not exchange.is_sent
            exchange.cancel()
            await asyncio.sleep(0.1)
            kept = pool.has_idle
            pool.abort()
            server.close()
            return searcher.requests, kept

        assert asyncio.run(main()) == ([], True)

"""Tests of what is left of a connection when the handling of its result raises."""

import asyncio
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.http import ConnectionPool, PoolSettings

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n"
ANSWERS = {
    "malformed": b"none\r\n\r\n",
    "too large": b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 2_000 + b"\r\n",
}


def fail(*_):
    raise RuntimeError("a fault of this host")


def run(answer, scenario):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await reader.read()
        writer.close()

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        second = timedelta(seconds=1)
        settings = PoolSettings(f"127.0.0.1:{port}", 4, second, second, b"request-id")
        pool = ConnectionPool(settings, SystemClock())
        try:
            return await scenario(pool)
        finally:
            pool.abort()
            server.close()

    return asyncio.run(main())


class TestFailingCallback:
    @pytest.mark.parametrize("kind", ANSWERS)
    def test_a_connection_whose_failure_cannot_be_handled_is_closed(self, kind):
        async def scenario(pool):
            pool.send(lambda: REQUEST, b"1", False, fail)
            await asyncio.sleep(0.2)
            return pool.size

        assert run(ANSWERS[kind], scenario) == 0

    def test_a_connection_whose_request_cannot_be_rendered_is_closed(self):
        async def scenario(pool):
            pool.send(lambda: REQUEST, b"1", False, lambda result: None)
            await asyncio.sleep(0.2)
            assert pool.has_idle
            with pytest.raises(RuntimeError):
                pool.send(fail, b"1", False, lambda result: None)
            return pool.size

        assert run(WHOLE, scenario) == 0

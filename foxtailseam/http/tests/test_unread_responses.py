"""Tests of a caller that reads its responses beside many that do not."""

import asyncio
import socket

from foxtailseam.clocks import SystemClock
from foxtailseam.http import HttpResponse, Listener, ListenerLimits

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
BODY = b"b" * 1_000_000
UNSENT_BYTES = 4_000_000
SILENT_CALLERS = 30
# Requests that each of them pipelines; the kernel takes the first responses.
PIPELINED = 8


async def start_silent_caller(address):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    sock.send(REQUEST * PIPELINED)
    await asyncio.sleep(0.02)
    return sock


class TestUnreadResponses:
    def test_a_caller_that_reads_gets_its_responses(self):
        async def main():
            listener = Listener(
                lambda call: call.respond(HttpResponse(200, (), BODY)), SystemClock()
            )
            listener.limits = ListenerLimits(unsent_bytes=UNSENT_BYTES)
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = probe.getsockname()
            await listener.start(f"{address[0]}:{address[1]}")
            silent = [await start_silent_caller(address) for _ in range(SILENT_CALLERS)]
            reader, writer = await asyncio.open_connection(*address)
            statuses = []
            for _ in range(10):
                writer.write(REQUEST)
                head = await reader.readuntil(b"\r\n\r\n")
                statuses.append(head.split()[1])
                length = head.partition(b"Content-Length: ")[2].split()[0]
                await reader.readexactly(int(length))
            writer.close()
            listener.stop()
            for sock in silent:
                sock.close()
            return statuses

        assert asyncio.run(main()) == [b"200"] * 10

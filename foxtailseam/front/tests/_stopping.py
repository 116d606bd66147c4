"""Callers of a host that is told to stop, and what each of them has seen."""

import asyncio
import signal
from dataclasses import dataclass

from foxtailseam.front.tests._deployment import GRACE_SECONDS

NO_ANSWER = 0
# The process is killed at the end of its grace.
ANSWER_SECONDS = GRACE_SECONDS + 1.0
# Statuses that state that the request was not run.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Exchange:
    """Request of a caller, and its answer; status `NO_ANSWER` without a whole one."""

    name: str
    status: int
    closes: bool = False
    body: bytes = b""


class StopCaller:
    """A caller with one connection.

    Parameters
    ----------
    host : PlatformHost
        Host that is called.
    """

    def __init__(self, host):
        self.host = host
        self._reader = None
        self._writer = None
        # Answers come in the order of the requests.
        self._reading = asyncio.Lock()

    async def open(self):
        address, _, port = self.host.listen["frontend"].rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(address, int(port))
        return self

    def send(self, path, body=b"", sent_body=None, deadline_ms=20_000):
        """Write a request; `sent_body` if only a part of its body is sent now."""
        method = "POST" if body else "GET"
        self.write(
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"Foxtailseam-Request-Id: {self.host.next_id()}\r\n"
            f"Foxtailseam-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
        )
        self.write(body if sent_body is None else sent_body)

    def write(self, data):
        self._writer.write(data)

    def pause_reading(self):
        """Read nothing, so that most of a large answer waits at the host."""
        self._writer.transport.pause_reading()

    def resume_reading(self):
        self._writer.transport.resume_reading()

    async def read(self, name):
        """Return the answer to the request that was sent first of those without one."""
        try:
            async with asyncio.timeout(ANSWER_SECONDS), self._reading:
                exchange = await self._read(name)
        except (OSError, EOFError, TimeoutError):
            exchange = Exchange(name, NO_ANSWER)
        if exchange.closes or exchange.status == NO_ANSWER:
            self.close()
        return exchange

    def close(self):
        self._writer.close()

    async def _read(self, name):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        first, *lines = head.rstrip().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        body = await self._reader.readexactly(int(headers["content-length"]))
        closes = headers.get("connection") == "close"
        return Exchange(name, int(first.split()[1]), closes, body)

    async def ask(self, path, body=b"", **options):
        """Send a request and return its answer."""
        self.send(path, body, **options)
        return await self.read(f"{path} {body.decode()}")


class Stop:
    """A planned stop of a host, with the times of its callers.

    Parameters
    ----------
    host : PlatformHost
        Host to stop.
    """

    def __init__(self, host):
        self.host = host
        self._calls = []
        self._callers = []
        self._started_at = asyncio.get_running_loop().time()

    def signal(self):
        """Send SIGTERM; `at` counts from here."""
        self._started_at = asyncio.get_running_loop().time()
        self.host.process.send_signal(signal.SIGTERM)

    async def at(self, seconds):
        """Wait until some seconds after the signal."""
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self._started_at + seconds - now)

    async def open(self, host=None):
        """Return a caller that is connected to the host, or to another one."""
        caller = await StopCaller(host or self.host).open()
        self._callers.append(caller)
        return caller

    def add(self, call):
        """Run a coroutine that returns an exchange beside the stop."""
        self._calls.append(asyncio.create_task(call))

    async def exchanges(self):
        """Return what the callers have seen once the process has ended."""
        async with asyncio.timeout(GRACE_SECONDS):
            code = await self.host.process.wait()
        assert code == 0
        exchanges = await asyncio.gather(*self._calls)
        for caller in self._callers:
            caller.close()
        return exchanges

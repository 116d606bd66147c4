"""Stand-in of callers that keep their connections and honour Retry-After."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from stand_ins.hosts import FRONTEND_PORT, Hosts
from stand_ins.record import Record
from stand_ins.wire import Headers, read_response, render_request

HOST = "pupu76.example"
DEADLINE_MS = 4000
# Longer than the time limit of each request.
PATIENCE_SECONDS = 8.0


@dataclass
class Call:
    """A request and its answer.

    Parameters
    ----------
    request_id, method, target : str
        Identifier, method and target.
    body : bytes
        Body of the request.
    status : int
        Status of the answer; 0 if the connection ended without one.
    headers : list of (str, str)
        Headers of the answer, names in lower case.
    answer : bytes
        Body of the answer.
    """

    request_id: str
    method: str
    target: str
    body: bytes = b""
    status: int = 0
    headers: Headers = ()
    answer: bytes = b""

    def values(self, name: str) -> list[str]:
        """Return the values of a header of the answer."""
        return [value for header, value in self.headers if header == name]


class Callers:
    """A number of callers that send one request after the other, each a new one.

    Parameters
    ----------
    hosts : Hosts
        Hosts to send to.
    record : Record
        Record of the case.
    generator : random.Random
        Source of randomness.
    choose : callable
        Returns method, target and body of the next request.
    """

    def __init__(
        self,
        hosts: Hosts,
        record: Record,
        generator: random.Random,
        choose: Callable[[], tuple[str, str, bytes]],
    ):
        self.hosts = hosts
        self.record = record
        self.generator = generator
        self.choose = choose
        self.calls: dict[str, Call] = {}
        self._number = generator.randrange(1 << 40) << 20

    async def run(self, count: int, seconds: float) -> None:
        """Let a number of callers send requests for some time."""
        end = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self._call_until(i, end) for i in range(count)))

    async def _call_until(self, index: int, end: float) -> None:
        address = self.hosts.ip(index % self.hosts.count)
        connection = None
        while asyncio.get_running_loop().time() < end:
            if connection is None:
                connection = await asyncio.open_connection(address, FRONTEND_PORT)
            call = self._next_call()
            keeps = False
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                keeps = await self._send(connection, call)
            self.record.write("answered", call.request_id, call.status)
            if not keeps:
                connection[1].close()
                connection = None
            pause = max([float(value) for value in call.values("retry-after")] or [0.0])
            await asyncio.sleep(pause + self.generator.uniform(0.0, 0.02))
        if connection is not None:
            connection[1].close()

    def _next_call(self) -> Call:
        self._number += 1
        call = Call(f"{self._number:016x}", *self.choose())
        self.calls[call.request_id] = call
        self.record.write("sent", call.request_id, call.method, call.target)
        return call

    async def _send(self, connection, call: Call) -> bool:
        reader, writer = connection
        headers = [
            ("Host", HOST),
            ("Foxtailseam-Request-Id", call.request_id),
            ("Foxtailseam-Deadline-Ms", str(DEADLINE_MS)),
        ]
        writer.write(render_request(call.method, call.target, headers, call.body))
        async with asyncio.timeout(PATIENCE_SECONDS):
            call.status, call.headers, call.answer = await read_response(reader)
        return "close" not in call.values("connection")

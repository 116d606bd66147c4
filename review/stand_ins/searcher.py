"""Stand-in of a searcher, sound but for the disruption of a case."""

import asyncio
import contextlib
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from stand_ins.record import Record
from stand_ins.wire import Headers, read_request, render_response

RECORD_BYTES = 16


@dataclass
class Answer:
    """What a searcher has answered to a request that it ran."""

    service: str
    status: int
    body: bytes


@dataclass
class Journal:
    """What all searchers together have run and answered, by request.

    Parameters
    ----------
    record : Record
        Record of the case.
    runs : dict
        Names of the searchers that began to work on a request.
    answers : dict
        Answers to a request by their digest.
    """

    record: Record
    runs: dict[str, list[str]] = field(default_factory=dict)
    answers: dict[str, dict[str, Answer]] = field(default_factory=dict)


@dataclass
class Reply:
    """One answer of a searcher.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    status : int
        Status of the answer.
    headers : list of (str, str)
        Headers without the length.
    body : bytes
        Body.
    """

    request_id: str
    status: int
    headers: Headers
    body: bytes

    def render(self) -> bytes:
        """Return the answer as bytes."""
        return render_response(self.status, self.headers, self.body)


class Searcher:
    """A searcher with slots, a queue and a connection limit.

    Parameters
    ----------
    name, service, zone : str
        Identifier, service and failure domain.
    journal : Journal
        What all searchers have run.
    work_seconds : (float, float)
        Shortest and longest time to work on a request.
    generator : random.Random
        Source of randomness.
    slots, queue : int
        Requests that it works on at a time, and that may wait.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        journal: Journal,
        work_seconds: tuple[float, float],
        generator: random.Random,
        slots: int = 2,
        queue: int = 8,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.journal = journal
        self.work_seconds = work_seconds
        self.generator = generator
        self.slots = slots
        self.queue = queue
        self.address = ""
        # Called with each answer and whether the request has run; returns the bytes
        # to send instead of it, and those to send once the next request has come.
        self.spoil: Callable[[Reply, bool], tuple[bytes, bytes]] = _send_as_it_is
        self._free = asyncio.Semaphore(slots)
        self._accepted = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict:
        """Return the next entry to publish."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": self.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _serve(self, reader, writer) -> None:
        left_over = b""
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                if left_over:
                    self.journal.record.write("extra-bytes", self.name, left_over)
                    writer.write(left_over)
                reply, has_run = await self._reply(reader, target, headers)
                now, left_over = self.spoil(reply, has_run)
                writer.write(now)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _reply(self, reader, target: str, headers: dict) -> tuple[Reply, bool]:
        request_id = headers["foxtailseam-request-id"]
        not_run = [
            ("Foxtailseam-Not-Executed", "1"),
            ("Foxtailseam-Request-Id", request_id),
        ]
        if headers["foxtailseam-expect-instance"] != self.name:
            instance = [("Foxtailseam-Instance-Id", self.name)]
            return Reply(request_id, 421, not_run + instance, b""), False
        if self._accepted >= self.slots + self.queue:
            self.journal.record.write("rejected", request_id, self.name)
            return Reply(request_id, 503, not_run, b""), False
        self._accepted += 1
        try:
            async with self._free:
                return await self._run(reader, request_id, target), True
        finally:
            self._accepted -= 1

    async def _run(self, reader, request_id: str, target: str) -> Reply:
        journal = self.journal
        journal.record.write("ran", request_id, self.name, target)
        journal.runs.setdefault(request_id, []).append(self.name)
        closed = asyncio.ensure_future(reader.read(1))
        seconds = self.generator.uniform(*self.work_seconds)
        done, _ = await asyncio.wait({closed}, timeout=seconds)
        if done:
            raise ConnectionError("the connection was closed")
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        digest = f"{self.name}.{request_id}.{self.generator.randrange(1 << 30):x}"
        body = _records(digest, self.generator.randrange(1, 60))
        answer = Answer(self.service, 200, body)
        journal.answers.setdefault(request_id, {})[digest] = answer
        headers = [
            ("Foxtailseam-Request-Id", request_id),
            ("Foxtailseam-Server-Stamp", digest),
        ]
        return Reply(request_id, 200, headers, body)


def _send_as_it_is(reply: Reply, _has_run: bool) -> tuple[bytes, bytes]:
    return reply.render(), b""


def _records(seed: str, count: int) -> bytes:
    numbers = (hashlib.md5(f"{seed}{i}".encode()).digest() for i in range(count))
    return b"".join(number[:RECORD_BYTES] for number in numbers)

"""Stand-in of a searcher, with all that the brief says upstreams do.

Published protocol: ``POST /search`` and ``POST /submit`` with ``X-Request-Id``,
``X-Index-Version`` and ``X-Deadline-Ms``; ``POST /cancel/ID``; ``GET /health``.
``POST /control`` changes the behaviour, ``GET /runs`` gives the run log.
"""

import asyncio
import os
import random
import secrets
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from foxtailseam_bench._http import Connection, HttpAnswer, HttpRequest

COLD_FACTOR = 5.0
RUN_LOG_LENGTH = 20_000


@dataclass(frozen=True)
class Record:
    """One record of a shard."""

    record: str
    score: float
    text: str


@dataclass(frozen=True)
class SearcherBehaviour:
    """What a searcher does; changed by ``POST /control``.

    Parameters
    ----------
    service_ms : float
        Mean time that one request takes a slot.
    spread : float
        Share of the service time that varies, 0 to 1.
    slow_factor : float
        Factor on the service time; a straggler has 10.
    network_ms : float
        Delay of each answer, for the way there and back.
    connect_ms : float
        Delay of the first request on a connection.
    slots, connections, queue : int
        Requests run at a time, connections accepted, requests that may wait.
    shed : float
        Share of requests shed, 0 to 1.
    cold_requests : int
        First requests of a run that are slow.
    versions : list of int
        Index versions held; empty for every one.
    answer_version : int
        Version put into answers in place of the one asked for; 0 for none.
    draining : bool
        Refuses new work and says so.
    drain_quietly : bool
        Answers on, and says that it is draining.
    health_lag : bool
        The health endpoint claims that all is well.
    crash_on : str
        A query with this text in it ends the process.
    silence : bool
        Connections open now go silent for good; new ones work.
    crossed : bool
        Each answer is that to the request before.
    double : bool
        Each answer is sent twice.
    cut : str
        ``before``, ``within`` or ``after`` the run: the connection is reset.
    """

    service_ms: float = 2.0
    spread: float = 0.5
    slow_factor: float = 1.0
    network_ms: float = 0.0
    connect_ms: float = 0.0
    slots: int = 2
    connections: int = 25
    queue: int = 8
    shed: float = 0.0
    cold_requests: int = 0
    versions: list[int] = field(default_factory=list)
    answer_version: int = 0
    draining: bool = False
    drain_quietly: bool = False
    health_lag: bool = False
    crash_on: str = ""
    silence: bool = False
    crossed: bool = False
    double: bool = False
    cut: str = ""


@dataclass(frozen=True)
class Run:
    """One line of the run log."""

    path: str
    request_id: str
    body: str
    version: int


@dataclass(frozen=True)
class RunLog:
    """What the searcher has run, and what it has seen."""

    runs: list[Run]
    received: int
    connections_opened: int
    cancelled: int


class Searcher:
    """One searcher.

    Parameters
    ----------
    records : list of Record
        What it holds.
    behaviour : SearcherBehaviour
        How it behaves.
    seed : int
        Seed of the service times.
    run_file : str
        Where each run is written as it starts, so that it outlives the
        process; empty for nowhere.
    """

    def __init__(
        self,
        records: list[Record],
        behaviour: SearcherBehaviour,
        seed: int,
        run_file: str = "",
    ):
        self.records = records
        self.behaviour = behaviour
        self.seed = seed
        self.run_file = run_file
        self._random = random.Random(seed)
        self._incarnation = secrets.token_hex(4)
        self._slots = asyncio.Semaphore(behaviour.slots)
        self._waiting = 0
        self._open: set[Connection] = set()
        self._fresh: set[Connection] = set()
        self._runs: list[Run] = []
        self._received = 0
        self._opened = 0
        self._served = 0
        self._previous: HttpAnswer | None = None
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._cancel_count = 0

    def opened(self, connection: Connection) -> None:
        """Accept a connection, or reset it at the limit."""
        if len(self._open) >= self.behaviour.connections:
            connection.abort()
            return
        self._opened += 1
        self._open.add(connection)
        self._fresh.add(connection)

    def closed(self, connection: Connection) -> None:
        """Forget a connection."""
        self._open.discard(connection)
        self._fresh.discard(connection)

    def abort_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self._open):
            connection.abort()

    async def handle(
        self, connection: Connection, request: HttpRequest
    ) -> HttpAnswer | None:
        """Answer a request or a control call."""
        match request.path:
            case "/search" | "/submit":
                return await self._run(connection, request)
            case "/control":
                return self._control(connection, request)
            case "/runs":
                log = RunLog(
                    self._runs, self._received, self._opened, self._cancel_count
                )
                return HttpAnswer(body=msgspec.json.encode(log))
            case "/health":
                return self._health()
            case path if path.startswith("/cancel/"):
                self._cancel(path.rpartition("/")[2])
                return HttpAnswer()
        return HttpAnswer(404)

    def _cancel(self, request_id: str) -> None:
        self._cancel_count += 1
        self._cancelled[request_id] = None
        while len(self._cancelled) > RUN_LOG_LENGTH:
            self._cancelled.popitem(last=False)

    def _control(self, caller: Connection, request: HttpRequest) -> HttpAnswer:
        changes = msgspec.json.decode(request.body)
        silence = changes.pop("silence", False)
        cold = changes.pop("restart_cold", 0)
        if cold:
            self._served = 0
            self._incarnation = secrets.token_hex(4)
            changes["cold_requests"] = cold
        self.behaviour = replace(self.behaviour, **changes)
        if silence:
            for connection in self._open - {caller}:
                connection.silent = True
        return HttpAnswer()

    def _health(self) -> HttpAnswer:
        behaviour = self.behaviour
        is_leaving = behaviour.draining or behaviour.drain_quietly
        shown = is_leaving and not behaviour.health_lag
        return HttpAnswer(headers={"X-Draining": "1"} if shown else {})

    async def _run(
        self, connection: Connection, request: HttpRequest
    ) -> HttpAnswer | None:
        behaviour = self.behaviour
        self._received += 1
        request_id = request.headers.get("x-request-id", "")
        version = int(request.headers.get("x-index-version", "0"))
        headers = {"X-Request-Id": request_id, "X-Incarnation": self._incarnation}
        if behaviour.draining or behaviour.drain_quietly:
            headers["X-Draining"] = "1"
        if connection in self._fresh:
            self._fresh.discard(connection)
            await asyncio.sleep(behaviour.connect_ms / 1000)
        if behaviour.cut == "before":
            connection.abort()
            return None
        if self._sheds(behaviour):
            headers |= {"X-Not-Run": "1", "Retry-After": "1"}
            return HttpAnswer(503, headers=headers)
        if behaviour.versions and version and version not in behaviour.versions:
            return HttpAnswer(409, headers=headers)
        deadline = int(request.headers.get("x-deadline-ms", "60000")) / 1000
        due = asyncio.get_running_loop().time() + deadline
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            is_late = asyncio.get_running_loop().time() >= due
            if is_late or request_id in self._cancelled:
                return None if is_late else HttpAnswer(503, headers=headers)
            return await self._work(connection, request, version, headers)
        finally:
            self._slots.release()

    async def _work(
        self,
        connection: Connection,
        request: HttpRequest,
        version: int,
        headers: dict[str, str],
    ) -> HttpAnswer | None:
        behaviour = self.behaviour
        body = request.body.decode()
        request_id = headers["X-Request-Id"]
        self._log(Run(request.path, request_id, body, version))
        if behaviour.crash_on and behaviour.crash_on in body:
            os._exit(3)
        if behaviour.cut == "within":
            connection.abort()
            return None
        await asyncio.sleep(self._service_seconds())
        if behaviour.cut == "after":
            connection.abort()
            return None
        shown = behaviour.answer_version or version
        answer = {
            "request_id": request_id,
            "index_version": shown,
            "hits": self._matching(body, shown) if request.path == "/search" else [],
            "receipt": f"receipt-{request_id}",
        }
        own = HttpAnswer(200, msgspec.json.encode(answer), headers)
        sent = self._previous if behaviour.crossed and self._previous else own
        self._previous = own
        asyncio.get_running_loop().call_later(
            behaviour.network_ms / 1000,
            _send,
            connection,
            sent,
            2 if behaviour.double else 1,
        )
        return None

    def _matching(self, body: str, version: int) -> list[Record]:
        query = msgspec.json.decode(body)["query"]
        return [
            replace(record, text=f"{record.text} at version {version}")
            for record in self.records
            if query in record.text
        ]

    def _log(self, run: Run) -> None:
        self._runs.append(run)
        if self.run_file:
            with Path(self.run_file).open("a") as file:
                file.write(f"{run.path} {run.body}\n")
        if len(self._runs) > RUN_LOG_LENGTH:
            del self._runs[: RUN_LOG_LENGTH // 2]

    def _sheds(self, behaviour: SearcherBehaviour) -> bool:
        if behaviour.draining or self._waiting >= behaviour.queue:
            return True
        return self._random.random() < behaviour.shed

    def _service_seconds(self) -> float:
        behaviour = self.behaviour
        self._served += 1
        factor = behaviour.slow_factor
        if self._served <= behaviour.cold_requests:
            factor *= COLD_FACTOR
        vary = 1 + behaviour.spread * self._random.uniform(-1, 1)
        return behaviour.service_ms * factor * vary / 1000


def _send(connection: Connection, answer: HttpAnswer, times: int) -> None:
    if not connection.silent and not connection.transport.is_closing():
        connection.transport.write(answer.encode() * times)


@dataclass(frozen=True)
class SearcherSpec:
    """One searcher of a process."""

    address: str
    shard: str
    records: list[Record]
    behaviour: SearcherBehaviour = field(default_factory=SearcherBehaviour)
    seed: int = 0
    run_file: str = ""


async def serve_searchers(specs: list[SearcherSpec]) -> None:
    """Serve one or more searchers from this process until cancelled."""
    loop = asyncio.get_running_loop()
    servers = []
    for spec in specs:
        searcher = Searcher(spec.records, spec.behaviour, spec.seed, spec.run_file)
        host, _, port = spec.address.rpartition(":")
        servers.append(await loop.create_server(_factory(searcher), host, int(port)))
    await asyncio.gather(*(server.serve_forever() for server in servers))


def _factory(searcher: Searcher):
    return lambda: Connection(searcher.handle, searcher.opened, searcher.closed)

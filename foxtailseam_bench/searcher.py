"""Test double of a searcher that can inject the faults expected of upstreams.

Published protocol: ``POST /search`` and ``POST /submit`` with ``X-Request-Id``,
``X-Index-Version`` and ``X-Deadline-Ms``; ``POST /cancel/ID``; ``GET /health``.
``POST /control`` changes the behaviour and ``GET /runs`` returns the run log.
"""

import asyncio
import os
import random
import secrets
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from foxtailseam_bench._http import Connection, HttpRequest, HttpResponse

COLD_FACTOR = 5.0
MAX_RUN_LOG_ENTRIES = 20_000


@dataclass(frozen=True)
class Record:
    """One record of a shard: its identifier, score and searchable text."""

    record: str
    score: float
    text: str


@dataclass(frozen=True)
class SearcherBehaviour:
    """The load limits and faults of a searcher; changed by ``POST /control``.

    Parameters
    ----------
    service_ms : float
        Mean time for which a request occupies a slot, in milliseconds.
    spread : float
        Largest deviation of the service time from its mean, as a share of it, 0 to 1.
    slow_factor : float
        Factor on the service time; 10 makes the searcher a straggler.
    network_ms : float
        Simulated network round trip, added to each response, in milliseconds.
    connect_ms : float
        Extra delay of the first request on a connection, in milliseconds.
    slots : int
        Concurrent requests; changes after the start have no effect.
    connections : int
        Open connections; more are reset.
    queue : int
        Requests that may wait for a slot; more are shed.
    shed : float
        Share of requests that are shed, 0 to 1.
    cold_requests : int
        Number of requests after the start, or after ``restart_cold``, that take five
        times as long.
    versions : list of int
        Index versions that can be searched; empty for all.
    answer_version : int
        Index version stated in responses instead of the requested one; 0 for none.
    draining : bool
        Whether the searcher sheds all requests and announces that it drains.
    drain_quietly : bool
        Whether the searcher serves requests and announces that it drains.
    health_lag : bool
        Whether the health endpoint conceals that the searcher drains.
    crash_on : str
        A request with this text in its body ends the process; empty for none.
    silence : bool
        Whether the open connections get no response any more; new ones work.
    crossed : bool
        Whether each response is the one to the previous request.
    double : bool
        Whether each response is sent twice.
    cut : str
        Resets the connection ``before``, ``within`` or ``after`` the run of a request;
        empty for never.
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
    """One request that the searcher started to execute."""

    path: str
    request_id: str
    body: str
    version: int


@dataclass(frozen=True)
class RunLog:
    """The latest runs of a searcher and its counters since it was started.

    `received` counts requests, shed ones included; `cancelled` counts cancel calls.
    """

    runs: list[Run]
    received: int
    connections_opened: int
    cancelled: int


class FakeSearcher:
    """Serves the records of one shard with a given behaviour.

    Parameters
    ----------
    records : list of Record
        Records of the shard.
    behaviour : SearcherBehaviour
        Behaviour at the start.
    seed : int
        Seed of the service times and of the shed requests.
    run_file : str
        File to which each run is appended as it starts, so that the record outlives
        the process; empty for none.
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
        self._open_connections: set[Connection] = set()
        self._new_connections: set[Connection] = set()
        self._runs: list[Run] = []
        self._received_count = 0
        self._opened_count = 0
        self._served_count = 0
        self._previous_response: HttpResponse | None = None
        self._cancelled_ids: OrderedDict[str, None] = OrderedDict()
        self._cancel_count = 0

    def opened(self, connection: Connection) -> None:
        """Register a connection, or reset it if the limit is reached."""
        if len(self._open_connections) >= self.behaviour.connections:
            connection.abort()
            return
        self._opened_count += 1
        self._open_connections.add(connection)
        self._new_connections.add(connection)

    def closed(self, connection: Connection) -> None:
        """Unregister a connection that ended."""
        self._open_connections.discard(connection)
        self._new_connections.discard(connection)

    def abort_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self._open_connections):
            connection.abort()

    async def handle(
        self, connection: Connection, request: HttpRequest
    ) -> HttpResponse | None:
        """Handle a request or a control call; return None if no response is due.

        Responses to executed requests are sent later, after the network delay.
        """
        match request.path:
            case "/search" | "/submit":
                return await self._run(connection, request)
            case "/control":
                return self._control(connection, request)
            case "/runs":
                log = RunLog(
                    self._runs,
                    self._received_count,
                    self._opened_count,
                    self._cancel_count,
                )
                return HttpResponse(body=msgspec.json.encode(log))
            case "/health":
                return self._health()
            case path if path.startswith("/cancel/"):
                self._cancel(path.rpartition("/")[2])
                return HttpResponse()
        return HttpResponse(404)

    def _cancel(self, request_id: str) -> None:
        self._cancel_count += 1
        self._cancelled_ids[request_id] = None
        while len(self._cancelled_ids) > MAX_RUN_LOG_ENTRIES:
            self._cancelled_ids.popitem(last=False)

    def _control(self, caller: Connection, request: HttpRequest) -> HttpResponse:
        changes = msgspec.json.decode(request.body)
        silence = changes.pop("silence", False)
        cold_requests = changes.pop("restart_cold", 0)
        if cold_requests:
            self._served_count = 0
            self._incarnation = secrets.token_hex(4)
            changes["cold_requests"] = cold_requests
        self.behaviour = replace(self.behaviour, **changes)
        if silence:
            for connection in self._open_connections - {caller}:
                connection.silent = True
        return HttpResponse()

    def _health(self) -> HttpResponse:
        behaviour = self.behaviour
        is_leaving = behaviour.draining or behaviour.drain_quietly
        is_announced = is_leaving and not behaviour.health_lag
        return HttpResponse(headers={"X-Draining": "1"} if is_announced else {})

    async def _run(
        self, connection: Connection, request: HttpRequest
    ) -> HttpResponse | None:
        behaviour = self.behaviour
        self._received_count += 1
        request_id = request.headers.get("x-request-id", "")
        version = int(request.headers.get("x-index-version", "0"))
        headers = {"X-Request-Id": request_id, "X-Incarnation": self._incarnation}
        if behaviour.draining or behaviour.drain_quietly:
            headers["X-Draining"] = "1"
        if connection in self._new_connections:
            self._new_connections.discard(connection)
            await asyncio.sleep(behaviour.connect_ms / 1000)
        if behaviour.cut == "before":
            connection.abort()
            return None
        if self._is_shed(behaviour):
            headers |= {"X-Not-Run": "1", "Retry-After": "1"}
            return HttpResponse(503, headers=headers)
        if behaviour.versions and version and version not in behaviour.versions:
            return HttpResponse(409, headers=headers)
        deadline_seconds = int(request.headers.get("x-deadline-ms", "60000")) / 1000
        deadline_at = asyncio.get_running_loop().time() + deadline_seconds
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            is_late = asyncio.get_running_loop().time() >= deadline_at
            if is_late or request_id in self._cancelled_ids:
                return None if is_late else HttpResponse(503, headers=headers)
            return await self._execute(connection, request, version, headers)
        finally:
            self._slots.release()

    async def _execute(
        self,
        connection: Connection,
        request: HttpRequest,
        version: int,
        headers: dict[str, str],
    ) -> HttpResponse | None:
        behaviour = self.behaviour
        body = request.body.decode()
        request_id = headers["X-Request-Id"]
        self._log_run(Run(request.path, request_id, body, version))
        if behaviour.crash_on and behaviour.crash_on in body:
            os._exit(3)
        if behaviour.cut == "within":
            connection.abort()
            return None
        await asyncio.sleep(self._service_seconds())
        if behaviour.cut == "after":
            connection.abort()
            return None
        stated_version = behaviour.answer_version or version
        content = {
            "request_id": request_id,
            "index_version": stated_version,
            "hits": self._matching_records(body, stated_version)
            if request.path == "/search"
            else [],
            "receipt": f"receipt-{request_id}",
        }
        response = HttpResponse(200, msgspec.json.encode(content), headers)
        sent = (
            self._previous_response
            if behaviour.crossed and self._previous_response
            else response
        )
        self._previous_response = response
        asyncio.get_running_loop().call_later(
            behaviour.network_ms / 1000,
            _send,
            connection,
            sent,
            2 if behaviour.double else 1,
        )
        return None

    def _matching_records(self, body: str, version: int) -> list[Record]:
        query = msgspec.json.decode(body)["query"]
        return [
            replace(record, text=f"{record.text} at version {version}")
            for record in self.records
            if query in record.text
        ]

    def _log_run(self, run: Run) -> None:
        self._runs.append(run)
        if self.run_file:
            with Path(self.run_file).open("a") as file:
                file.write(f"{run.path} {run.body}\n")
        if len(self._runs) > MAX_RUN_LOG_ENTRIES:
            del self._runs[: MAX_RUN_LOG_ENTRIES // 2]

    def _is_shed(self, behaviour: SearcherBehaviour) -> bool:
        if behaviour.draining or self._waiting >= behaviour.queue:
            return True
        return self._random.random() < behaviour.shed

    def _service_seconds(self) -> float:
        behaviour = self.behaviour
        self._served_count += 1
        factor = behaviour.slow_factor
        if self._served_count <= behaviour.cold_requests:
            factor *= COLD_FACTOR
        variation = 1 + behaviour.spread * self._random.uniform(-1, 1)
        return behaviour.service_ms * factor * variation / 1000


def _send(connection: Connection, response: HttpResponse, times: int) -> None:
    if not connection.silent and not connection.transport.is_closing():
        connection.transport.write(response.encode() * times)


@dataclass(frozen=True)
class SearcherSpec:
    """The address, shard, records and behaviour of one searcher of a process.

    `address` is ``IP:PORT``; `run_file` is the path to which runs are appended, empty
    for none.
    """

    address: str
    shard: str
    records: list[Record]
    behaviour: SearcherBehaviour = field(default_factory=SearcherBehaviour)
    seed: int = 0
    run_file: str = ""


async def serve_searchers(specs: list[SearcherSpec]) -> None:
    """Serve one or more searchers in this process until cancelled."""
    loop = asyncio.get_running_loop()
    servers = []
    for spec in specs:
        searcher = FakeSearcher(spec.records, spec.behaviour, spec.seed, spec.run_file)
        host, _, port = spec.address.rpartition(":")
        servers.append(
            await loop.create_server(_connection_factory(searcher), host, int(port))
        )
    await asyncio.gather(*(server.serve_forever() for server in servers))


def _connection_factory(searcher: FakeSearcher):
    return lambda: Connection(searcher.handle, searcher.opened, searcher.closed)

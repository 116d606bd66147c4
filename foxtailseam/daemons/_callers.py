"""The callers' HTTP interface; docs/interface.md describes it."""

import asyncio
import re
import threading
from concurrent.futures import CancelledError, Future
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import msgspec
from cheroot import wsgi
from result import Err, Ok, Result

from foxtailseam.daemons._node import Node
from foxtailseam.daemons._render import HttpReply, render_outcome
from foxtailseam.filters import CallerRequest, Search, Submit
from foxtailseam.outcomes import Outcome, Unknown
from foxtailseam.tickets import Ticket
from foxtailseam.utils import ValidationProblem, check_range, new_identifier

HEADER_LIMIT = 16_384
KEPT_CONNECTIONS = 4_096
BACKLOG = 1_024
STOP_SECONDS = 1
HIGHEST_DEADLINE_MS = 60_000
TEXT_LIMIT = 32_768
_PATH = re.compile(r"/v1/families/([a-z][a-z0-9-]{0,62})/(search|submit|tickets)")


@dataclass(frozen=True)
class _SearchBody:
    query: str
    deadline_ms: int | None = None


@dataclass(frozen=True)
class _SubmitBody:
    ticket: str
    key: str
    content: str


@dataclass(frozen=True)
class _TicketPage:
    ticket: str
    life_ms: int


class RequestRunner(Protocol):
    """What runs callers' requests."""

    def mint(self, family: str) -> Ticket | None:
        """Return a new ticket, or None if the family takes none."""

    async def serve(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a request."""


class CallerServer:
    """Reads requests with cheroot and runs them in the process's event loop.

    Parameters
    ----------
    node : Node
        The process.
    runner : RequestRunner
        Runs the requests.
    loop : asyncio.AbstractEventLoop
        The process's event loop.
    """

    def __init__(
        self, node: Node, runner: RequestRunner, loop: asyncio.AbstractEventLoop
    ):
        self.node = node
        self.runner = runner
        self.loop = loop
        settings = node.settings.entry
        host, _, port = settings.callers.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            self._application,
            numthreads=settings.threads,
            timeout=settings.read_timeout.total_seconds(),
            request_queue_size=BACKLOG,
            shutdown_timeout=STOP_SECONDS,
        )
        self._server.max_request_body_size = settings.body_limit
        self._server.max_request_header_size = HEADER_LIMIT
        self._server.keep_alive_conn_limit = KEPT_CONNECTIONS
        self._lock = threading.Lock()
        self._in_flight = 0
        self._running: set[Future] = set()

    @property
    def in_flight(self) -> int:
        """Return how many requests are being read, run or answered."""
        return self._in_flight

    def start(self) -> None:
        """Listen, and serve from a thread of its own."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Give up what still runs, stop listening, and close connections."""
        for future in list(self._running):
            future.cancel()
        self._server.stop()

    def _application(self, environ, start_response) -> list[bytes]:
        with self._lock:
            self._in_flight += 1
        try:
            reply = self._answer(environ)
            headers = [*reply.headers, ("Content-Length", str(len(reply.body)))]
            if self.node.is_draining:
                headers.append(("Connection", "close"))
            start_response(reply.status, headers)
            return [reply.body]
        finally:
            with self._lock:
                self._in_flight -= 1

    def _answer(self, environ) -> HttpReply:
        path = environ["PATH_INFO"]
        if path == "/ready":
            status = "200 OK" if self.node.is_ready else "503 Service Unavailable"
            return HttpReply(status)
        match = _PATH.fullmatch(path)
        if match is None:
            problem = ValidationProblem("path", repr(path), _PATH.pattern)
            return _problem_reply("404 Not Found", problem)
        if environ["REQUEST_METHOD"] != "POST":
            method = environ["REQUEST_METHOD"]
            problem = ValidationProblem("method", method, "POST")
            return _problem_reply("405 Method Not Allowed", problem)
        family, action = match.groups()
        if action == "tickets":
            return self._mint(family)
        body = environ["wsgi.input"].read()
        read = _read_search if action == "search" else _read_submit
        match read(family, body):
            case Ok(request):
                return self._run(request)
            case Err(problem):
                return _problem_reply("400 Bad Request", problem)

    def _mint(self, family: str) -> HttpReply:
        ticket = self.runner.mint(family)
        if ticket is None:
            expected = "a family whose rules say: repeatable no"
            problem = ValidationProblem("family", family, expected)
            return _problem_reply("409 Conflict", problem)
        life = self.node.settings.entry.ticket_life // timedelta(milliseconds=1)
        body = msgspec.json.encode(_TicketPage(str(ticket), life))
        return HttpReply("201 Created", body)

    def _run(self, request: CallerRequest) -> HttpReply:
        future = asyncio.run_coroutine_threadsafe(self.runner.serve(request), self.loop)
        self._running.add(future)
        try:
            outcome = future.result()
        except CancelledError:
            outcome = Unknown(request.request_id, "the process ended its drain")
        finally:
            self._running.discard(future)
        return render_outcome(outcome)


def _read_search(family: str, body: bytes) -> Result[CallerRequest, ValidationProblem]:
    try:
        fields = msgspec.json.decode(body, type=_SearchBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(ValidationProblem("body", str(error), "query, deadline_ms"))
    problems = check_range("query (length)", len(fields.query), 1, TEXT_LIMIT)
    deadline = None
    if fields.deadline_ms is not None:
        value = fields.deadline_ms
        problems += check_range("deadline_ms", value, 1, HIGHEST_DEADLINE_MS)
        deadline = timedelta(milliseconds=value)
    if problems:
        return Err(problems[0])
    return Ok(Search(new_identifier(), family, fields.query, deadline))


def _read_submit(family: str, body: bytes) -> Result[CallerRequest, ValidationProblem]:
    try:
        fields = msgspec.json.decode(body, type=_SubmitBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(ValidationProblem("body", str(error), "ticket, key, content"))
    problems = check_range("key (length)", len(fields.key), 1, TEXT_LIMIT)
    problems += check_range("content (length)", len(fields.content), 1, TEXT_LIMIT)
    if problems:
        return Err(problems[0])
    request_id = new_identifier()
    return Ok(Submit(request_id, family, fields.ticket, fields.key, fields.content))


def _problem_reply(status: str, problem: ValidationProblem) -> HttpReply:
    return HttpReply(status, msgspec.json.encode(problem))

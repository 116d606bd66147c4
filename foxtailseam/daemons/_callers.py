"""HTTP interface for callers, described in docs/interface.md."""

import asyncio
import re
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from foxtailseam.daemons._node import Node
from foxtailseam.daemons._render import json_response, render_outcome
from foxtailseam.filters import CallerRequest, Search, Submit
from foxtailseam.http import Call, HttpRequest, HttpResponse, Listener, ListenerLimits
from foxtailseam.logs import EventCode
from foxtailseam.outcomes import Outcome, Unknown
from foxtailseam.tickets import Ticket
from foxtailseam.utils import ValidationProblem, check_range, new_identifier

MAX_HEADER_BYTES = 16_384
HEADER_TOO_LONG_STATUS = 413
MAX_CONNECTIONS = 4_096
# Time for the last answers to be sent once the listener has stopped.
FLUSH_SECONDS = 0.02
MAX_DEADLINE_MS = 60_000
MAX_TEXT_LENGTH = 32_768
_PATH = re.compile(r"/v1/families/([a-z][a-z0-9-]{0,62})/(search|submit|tickets)")


@dataclass(frozen=True)
class _SearchRequestBody:
    query: str
    deadline_ms: int | None = None


@dataclass(frozen=True)
class _SubmitRequestBody:
    ticket: str
    key: str
    content: str


@dataclass(frozen=True)
class _TicketResponseBody:
    ticket: str
    life_ms: int


class RequestRunner(Protocol):
    """Interface of the object that runs callers' requests."""

    def mint(self, family: str) -> Ticket | None:
        """Return a new ticket for one request of `family`, or None if refused."""

    async def serve(self, request: CallerRequest) -> Outcome:
        """Run a request and return its outcome."""


class CallerServer:
    """HTTP server that parses callers' requests and passes them to a runner.

    Parameters
    ----------
    node : Node
        Components of the process.
    runner : RequestRunner
        Runs the requests, in the event loop of the process.
    """

    def __init__(self, node: Node, runner: RequestRunner):
        self.node = node
        self.runner = runner
        settings = node.settings.entry
        self._listener = Listener(self._on_request, node.clock, self._on_unreadable)
        self._listener.limits = ListenerLimits(
            header_bytes=MAX_HEADER_BYTES,
            body_bytes=settings.body_limit,
            header_timeout=settings.read_timeout,
            body_timeout=settings.read_timeout,
            idle_timeout=settings.read_timeout,
            connections=MAX_CONNECTIONS,
            long_header_status=HEADER_TOO_LONG_STATUS,
        )
        self._request_tasks: set[asyncio.Task] = set()
        self._handlers = {
            "search": self._search,
            "submit": self._submit,
            "tickets": self._mint,
        }

    @property
    def in_flight(self) -> int:
        """Return the number of requests read and not yet answered."""
        return self._listener.in_flight

    async def start(self) -> None:
        """Start accepting connections on the configured address."""
        await self._listener.start(self.node.settings.entry.callers)

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self._listener.drain()

    async def stop(self) -> None:
        """Cancel running requests, stop listening and close connections."""
        for task in self._request_tasks:
            task.cancel()
        await asyncio.gather(*self._request_tasks, return_exceptions=True)
        self._listener.stop()
        await asyncio.sleep(FLUSH_SECONDS)

    def _on_request(self, call: Call) -> None:
        # Not cancelled when the caller disconnects: its ticket may be running.
        task = asyncio.create_task(self._serve(call))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    async def _serve(self, call: Call) -> None:
        call.respond(await self._respond(call.request))

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/ready":
            return HttpResponse(200 if self.node.is_ready else 503)
        match = _PATH.fullmatch(request.path)
        if match is None:
            problem = ValidationProblem("path", repr(request.path), _PATH.pattern)
            return json_response(404, problem)
        if request.method != b"POST":
            method = request.method.decode("latin-1")
            return json_response(405, ValidationProblem("method", method, "POST"))
        family, action = match.groups()
        return await self._handlers[action](family, request.body)

    async def _mint(self, family: str, body: bytes) -> HttpResponse:
        ticket = self.runner.mint(family)
        if ticket is None:
            expected = "a family whose rules say: repeatable no"
            return json_response(409, ValidationProblem("family", family, expected))
        life = self.node.settings.entry.ticket_life // timedelta(milliseconds=1)
        return json_response(201, _TicketResponseBody(str(ticket), life))

    async def _search(self, family: str, body: bytes) -> HttpResponse:
        return await self._run(_parse_search(family, body))

    async def _submit(self, family: str, body: bytes) -> HttpResponse:
        return await self._run(_parse_submit(family, body))

    async def _run(
        self, parsed: Result[CallerRequest, ValidationProblem]
    ) -> HttpResponse:
        match parsed:
            case Err(problem):
                return json_response(400, problem)
            case Ok(request):
                try:
                    outcome = await self.runner.serve(request)
                except asyncio.CancelledError:
                    # Only `stop` cancels the task; the caller is still sent an answer.
                    detail = "the process ended its drain"
                    outcome = Unknown(request.request_id, detail)
                return render_outcome(outcome)

    def _on_unreadable(self, status: int) -> None:
        self.node.metrics.add(f"answers_{status}")
        self.node.recorder.record(EventCode.REQUEST_UNREADABLE, status=status)


def _parse_search(family: str, body: bytes) -> Result[CallerRequest, ValidationProblem]:
    try:
        fields = msgspec.json.decode(body, type=_SearchRequestBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(ValidationProblem("body", str(error), "query, deadline_ms"))
    problems = check_range("query (length)", len(fields.query), 1, MAX_TEXT_LENGTH)
    deadline = None
    if fields.deadline_ms is not None:
        value = fields.deadline_ms
        problems += check_range("deadline_ms", value, 1, MAX_DEADLINE_MS)
        deadline = timedelta(milliseconds=value)
    if problems:
        return Err(problems[0])
    return Ok(Search(new_identifier(), family, fields.query, deadline))


def _parse_submit(family: str, body: bytes) -> Result[CallerRequest, ValidationProblem]:
    try:
        fields = msgspec.json.decode(body, type=_SubmitRequestBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(ValidationProblem("body", str(error), "ticket, key, content"))
    problems = check_range("key (length)", len(fields.key), 1, MAX_TEXT_LENGTH)
    problems += check_range("content (length)", len(fields.content), 1, MAX_TEXT_LENGTH)
    if problems:
        return Err(problems[0])
    request_id = new_identifier()
    return Ok(Submit(request_id, family, fields.ticket, fields.key, fields.content))

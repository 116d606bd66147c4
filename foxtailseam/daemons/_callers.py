"""The callers' HTTP interface; docs/interface.md describes it."""

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

HEADER_LIMIT = 16_384
LONG_HEADER_STATUS = 413
KEPT_CONNECTIONS = 4_096
# Lets the last answers leave, in seconds.
FLUSH_SECONDS = 0.02
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
    """Reads callers' requests and runs them in the process's event loop.

    Parameters
    ----------
    node : Node
        The process.
    runner : RequestRunner
        Runs the requests.
    """

    def __init__(self, node: Node, runner: RequestRunner):
        self.node = node
        self.runner = runner
        settings = node.settings.entry
        self._listener = Listener(self._begin, node.clock, self._on_unreadable)
        self._listener.limits = ListenerLimits(
            header_bytes=HEADER_LIMIT,
            body_bytes=settings.body_limit,
            header_timeout=settings.read_timeout,
            body_timeout=settings.read_timeout,
            idle_timeout=settings.read_timeout,
            connections=KEPT_CONNECTIONS,
            long_header_status=LONG_HEADER_STATUS,
        )
        self._running: set[asyncio.Task] = set()
        self._actions = {
            "search": self._search,
            "submit": self._submit,
            "tickets": self._mint,
        }

    @property
    def in_flight(self) -> int:
        """Return how many requests were read and not yet answered."""
        return self._listener.in_flight

    async def start(self) -> None:
        """Listen."""
        await self._listener.start(self.node.settings.entry.callers)

    def drain(self) -> None:
        """End each connection with its next answer."""
        self._listener.drain()

    async def stop(self) -> None:
        """Give up what still runs, stop listening, and close connections."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        self._listener.stop()
        await asyncio.sleep(FLUSH_SECONDS)

    def _begin(self, call: Call) -> None:
        # A caller that leaves ends nothing: its ticket may have begun to run.
        task = asyncio.create_task(self._serve(call))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _serve(self, call: Call) -> None:
        call.respond(await self._answer(call.request))

    async def _answer(self, request: HttpRequest) -> HttpResponse:
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
        return await self._actions[action](family, request.body)

    async def _mint(self, family: str, body: bytes) -> HttpResponse:
        ticket = self.runner.mint(family)
        if ticket is None:
            expected = "a family whose rules say: repeatable no"
            return json_response(409, ValidationProblem("family", family, expected))
        life = self.node.settings.entry.ticket_life // timedelta(milliseconds=1)
        return json_response(201, _TicketPage(str(ticket), life))

    async def _search(self, family: str, body: bytes) -> HttpResponse:
        return await self._run(_read_search(family, body))

    async def _submit(self, family: str, body: bytes) -> HttpResponse:
        return await self._run(_read_submit(family, body))

    async def _run(
        self, read: Result[CallerRequest, ValidationProblem]
    ) -> HttpResponse:
        match read:
            case Err(problem):
                return json_response(400, problem)
            case Ok(request):
                try:
                    outcome = await self.runner.serve(request)
                except asyncio.CancelledError:
                    # Only `stop` cancels; the caller still gets its answer.
                    detail = "the process ended its drain"
                    outcome = Unknown(request.request_id, detail)
                return render_outcome(outcome)

    def _on_unreadable(self, status: int) -> None:
        self.node.metrics.add(f"answers_{status}")
        self.node.recorder.record(EventCode.REQUEST_UNREADABLE, status=status)


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

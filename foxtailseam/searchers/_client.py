"""Asynchronous HTTP client for one searcher."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from foxtailseam.clocks import Clock
from foxtailseam.http import (
    ConnectionPool,
    ExchangeFailure,
    ExchangeResult,
    FailureKind,
    HttpResponse,
    PoolSettings,
    Received,
    find_header,
    render_request_head,
)
from foxtailseam.outcomes import Hit
from foxtailseam.searchers._attempt_results import (
    Answered,
    AttemptResult,
    Broken,
    Mismatched,
    NotSent,
    Shed,
    TimedOut,
    VersionGone,
)

OK = 200
VERSION_GONE = 409
UNAVAILABLE = 503
CONNECT_TIMEOUT = timedelta(milliseconds=250)
# A connection is closed once sent data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=2)
DEFAULT_RETRY_AFTER = timedelta(seconds=1)
# A longer number of seconds is not believed.
MAX_RETRY_AFTER_DIGITS = 9


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """One HTTP request to one searcher.

    Parameters
    ----------
    request_id : str
        Identifier, unique for each attempt; the answer must repeat it.
    path : str
        ``/search``, or ``/submit`` for a non-repeatable request.
    index_version : int
        Index version to answer from; 0 (`ANY_VERSION`) accepts any.
    body : bytes
        Request body.
    """

    request_id: str
    path: str
    index_version: int
    body: bytes


@dataclass(frozen=True)
class _AnswerBody:
    request_id: str
    index_version: int
    hits: tuple[Hit, ...] = ()
    receipt: str = ""


_ANSWER_DECODER = msgspec.json.Decoder(_AnswerBody)


class SearcherClient:
    """HTTP client with a connection pool for one searcher.

    Must be used from a single event loop.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the searcher.
    connections : int
        Connection limit passed to the pool.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, address: str, connections: int, clock: Clock):
        self.address = address
        self.connections = connections
        self.clock = clock
        self._pool = self._new_pool()

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._pool.size

    async def send(self, request: AttemptRequest, timeout: timedelta) -> AttemptResult:
        """Send a request once and wait for the result.

        Network and searcher faults are returned, not raised.

        Parameters
        ----------
        request : AttemptRequest
            Request to send.
        timeout : timedelta
            Maximum time to wait for the answer, connecting included. It is sent
            to the searcher as ``X-Deadline-Ms``.

        Returns
        -------
        AttemptResult
            Result of the attempt.
        """
        headers = (
            (b"X-Request-Id", request.request_id.encode()),
            (b"X-Index-Version", b"%d" % request.index_version),
            (b"X-Deadline-Ms", b"%d" % (timeout / timedelta(milliseconds=1))),
        )
        pool = self._pool
        match await self._exchange(
            b"POST", request.path, headers, request.body, timeout
        ):
            case ExchangeFailure(kind=kind, sent=False):
                return NotSent(timed_out=kind is FailureKind.TIMEOUT)
            case ExchangeFailure(kind=FailureKind.TIMEOUT):
                return TimedOut()
            case ExchangeFailure():
                return Broken(lost=not await self._is_reachable(pool))
            case Received(response=response):
                result = _parse_response(request, response)
        if isinstance(result, Mismatched):
            self.drop_connections()
        return result

    def cancel(self, request_id: str) -> None:
        """Ask the searcher to cancel a request; return without waiting.

        Parameters
        ----------
        request_id : str
            Identifier of the `AttemptRequest` to cancel.
        """
        payload = self._render_request(b"POST", f"/cancel/{request_id}", (), b"")
        exchange = self._pool.send(lambda: payload, b"", False, _ignore_result)
        loop = asyncio.get_running_loop()
        loop.call_later(CONNECT_TIMEOUT.total_seconds(), exchange.cancel)

    async def is_ready(self) -> bool:
        """Query the health endpoint; return True if it accepts new requests."""
        match await self._exchange(b"GET", "/health", (), b"", CONNECT_TIMEOUT):
            case Received(response=HttpResponse(status=status, headers=headers)):
                return status == OK and find_header(headers, b"x-draining") != b"1"
            case _:
                return False

    def drop_connections(self) -> None:
        """Replace the connection pool.

        Idle connections are closed now, connections in use after their request.
        """
        old_pool = self._pool
        self._pool = self._new_pool()
        old_pool.retire()

    def close(self) -> None:
        """Close idle connections now and connections in use after their request."""
        self._pool.retire()

    async def _exchange(
        self,
        method: bytes,
        path: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        timeout: timedelta,
    ) -> ExchangeResult:
        payload = self._render_request(method, path, headers, body)
        return await self._pool.request(payload, timeout)

    async def _is_reachable(self, pool: ConnectionPool) -> bool:
        result: asyncio.Future[bool] = asyncio.Future()
        pool.probe(result.set_result)
        return await result

    def _render_request(
        self,
        method: bytes,
        path: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> bytes:
        host = (b"Host", self.address.encode())
        head = render_request_head(method, path.encode(), (host, *headers), body)
        return head + b"\r\n" + body

    def _new_pool(self) -> ConnectionPool:
        settings = PoolSettings(
            self.address, self.connections, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT
        )
        return ConnectionPool(settings, self.clock)


def _ignore_result(result: ExchangeResult) -> None:
    """Discard the response to a cancellation; no caller waits for it."""


def _parse_response(request: AttemptRequest, response: HttpResponse) -> AttemptResult:
    draining = find_header(response.headers, b"x-draining") == b"1"
    if find_header(response.headers, b"x-request-id") != request.request_id.encode():
        return Mismatched()
    if response.status == VERSION_GONE:
        return VersionGone()
    was_not_run = find_header(response.headers, b"x-not-run") == b"1"
    if response.status == UNAVAILABLE and was_not_run:
        header = find_header(response.headers, b"retry-after") or b""
        retry_after = DEFAULT_RETRY_AFTER
        if header.isdigit() and len(header) <= MAX_RETRY_AFTER_DIGITS:
            retry_after = timedelta(seconds=int(header))
        return Shed(retry_after, draining)
    if response.status != OK:
        return Broken(lost=False)
    try:
        body = _ANSWER_DECODER.decode(response.body)
    except msgspec.MsgspecError:
        return Broken(lost=False)
    if body.request_id != request.request_id:
        return Mismatched()
    incarnation = find_header(response.headers, b"x-incarnation") or b""
    return Answered(
        index_version=body.index_version,
        hits=body.hits,
        receipt=body.receipt,
        draining=draining,
        incarnation=incarnation.decode("latin-1"),
    )

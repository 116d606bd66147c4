"""HTTP calls to one searcher, on the event loop."""

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
from foxtailseam.searchers._attempts import (
    Answered,
    Attempt,
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
# Sent data that stays unacknowledged for so long ends its connection.
SILENCE_TIMEOUT = timedelta(seconds=2)
DEFAULT_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class SubRequest:
    """One request to one searcher.

    Parameters
    ----------
    request_id : str
        Unique for each attempt; the answer must carry it.
    path : str
        ``/search``, or ``/submit`` for a request that may not be repeated.
    index_version : int
        Version to answer from.
    body : bytes
        The query.
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
    """Owns the connections to one searcher; used from one event loop.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the searcher.
    connections : int
        Most connections kept.
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
        """Return how many connections are open or being opened."""
        return self._pool.size

    async def send(self, request: SubRequest, timeout: timedelta) -> Attempt:
        """Send a request once and wait for what comes of it.

        Parameters
        ----------
        request : SubRequest
            What to send.
        timeout : timedelta
            Bound on the wait for the answer; the searcher is told of it.

        Returns
        -------
        Attempt
            The outcome; never raises for a fault of the network or searcher.
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
            case ExchangeFailure(sent=False):
                return NotSent()
            case ExchangeFailure(kind=FailureKind.TIMEOUT):
                return TimedOut()
            case ExchangeFailure():
                return Broken(lost=not await self._is_alive(pool))
            case Received(response=response):
                attempt = _read_reply(request, response)
        if isinstance(attempt, Mismatched):
            self.drop_connections()
        return attempt

    def cancel(self, request_id: str) -> None:
        """Tell the searcher that nobody waits for the answer any more."""
        payload = self._payload(b"POST", f"/cancel/{request_id}", (), b"")
        exchange = self._pool.send(lambda: payload, b"", False, _ignore)
        loop = asyncio.get_running_loop()
        loop.call_later(CONNECT_TIMEOUT.total_seconds(), exchange.cancel)

    async def is_ready(self) -> bool:
        """Return whether the health endpoint says that new work is welcome."""
        match await self._exchange(b"GET", "/health", (), b"", CONNECT_TIMEOUT):
            case Received(response=HttpResponse(status=status, headers=headers)):
                return status == OK and find_header(headers, b"x-draining") != b"1"
            case _:
                return False

    def drop_connections(self) -> None:
        """Use new connections from now on; those in use close when they return."""
        old = self._pool
        self._pool = self._new_pool()
        old.retire()

    def close(self) -> None:
        """Close idle connections."""
        self._pool.retire()

    async def _exchange(
        self,
        method: bytes,
        path: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        timeout: timedelta,
    ) -> ExchangeResult:
        payload = self._payload(method, path, headers, body)
        return await self._pool.request(payload, timeout)

    async def _is_alive(self, pool: ConnectionPool) -> bool:
        accepts: asyncio.Future[bool] = asyncio.Future()
        pool.probe(accepts.set_result)
        return await accepts

    def _payload(
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
            self.address, self.connections, CONNECT_TIMEOUT, SILENCE_TIMEOUT
        )
        return ConnectionPool(settings, self.clock)


def _ignore(result: ExchangeResult) -> None:
    """Take no note: the request was given up already, and nobody waits."""


def _read_reply(request: SubRequest, reply: HttpResponse) -> Attempt:
    draining = find_header(reply.headers, b"x-draining") == b"1"
    if find_header(reply.headers, b"x-request-id") != request.request_id.encode():
        return Mismatched()
    if reply.status == VERSION_GONE:
        return VersionGone()
    not_run = find_header(reply.headers, b"x-not-run") == b"1"
    if reply.status == UNAVAILABLE and not_run:
        after = find_header(reply.headers, b"retry-after") or b""
        retry_after = DEFAULT_RETRY_AFTER
        if after.isdigit():
            retry_after = timedelta(seconds=int(after))
        return Shed(retry_after, draining)
    if reply.status != OK:
        return Broken(lost=False)
    try:
        body = _ANSWER_DECODER.decode(reply.body)
    except msgspec.MsgspecError:
        return Broken(lost=False)
    if body.request_id != request.request_id:
        return Mismatched()
    incarnation = find_header(reply.headers, b"x-incarnation") or b""
    return Answered(
        index_version=body.index_version,
        hits=body.hits,
        receipt=body.receipt,
        draining=draining,
        incarnation=incarnation.decode("latin-1"),
    )

"""The connections to one searcher."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.http._exchange import ExchangeResult, LossKind, Lost
from foxtailseam.http._upstream import ConnectionState, Done, UpstreamConnection

# A process that crashed may still accept connections while it is taken down.
PROBE_DELAY = timedelta(milliseconds=20)
PROBE_TIMEOUT = timedelta(milliseconds=300)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """How connections to one searcher are opened and kept.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    limit : int
        Most connections, those being opened included.
    connect_timeout : timedelta
        Bound on opening one.
    silence_timeout : timedelta
        How long sent data may stay unacknowledged.
    identifier_header : bytes
        Response header that repeats the identifier of the request; empty
        where responses carry none.
    probe_interval : timedelta or None
        Time between keep-alive probes of TCP, in whole seconds; a connection
        that doesn't answer one is closed. None for no probes.
    """

    address: str
    limit: int
    connect_timeout: timedelta
    silence_timeout: timedelta
    identifier_header: bytes = b""
    probe_interval: timedelta | None = None


class Exchange:
    """One request in a pool; can be cancelled until its result is there."""

    __slots__ = ("_connection", "_done", "identifier", "is_head", "payload")

    def __init__(
        self, payload: Callable[[], bytes], identifier: bytes, is_head: bool, done: Done
    ):
        self.payload = payload
        self.identifier = identifier
        self.is_head = is_head
        self._done: Done | None = done
        self._connection: UpstreamConnection | None = None

    @property
    def is_sent(self) -> bool:
        """Return whether a byte of the request may have left."""
        return self._connection is not None

    @property
    def is_pending(self) -> bool:
        """Return whether the result is still to come."""
        return self._done is not None

    def cancel(self) -> None:
        """Give up; the searcher sees its connection close."""
        self._done = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def start(self, connection: UpstreamConnection) -> None:
        """Send on an open connection."""
        self._connection = connection
        connection.send(self.payload(), self.identifier, self.is_head, self.finish)

    def finish(self, result: ExchangeResult) -> None:
        """Hand over the result."""
        self._connection = None
        done, self._done = self._done, None
        if done is not None:
            done(result)


class ConnectionPool:
    """Opens connections as they are needed and keeps them while they are usable.

    Parameters
    ----------
    settings : PoolSettings
        Address and limits.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, settings: PoolSettings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.opened = 0
        self._limit = settings.limit
        self._connections: set[UpstreamConnection] = set()
        self._idle: list[UpstreamConnection] = []
        self._opening: set[asyncio.Task] = set()
        self._probes: set[asyncio.Task] = set()

    @property
    def limit(self) -> int:
        """Return how many connections may be open at a time."""
        return self._limit

    @limit.setter
    def limit(self, value: int) -> None:
        self._limit = max(1, value)

    @property
    def size(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._connections) + len(self._opening)

    @property
    def has_idle(self) -> bool:
        """Return whether a request can be sent without opening a connection."""
        self._drop_stale()
        return bool(self._idle)

    @property
    def has_capacity(self) -> bool:
        """Return whether a request can be sent or a connection be opened."""
        return self.has_idle or self.size < self._limit

    def send(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: Done,
    ) -> Exchange:
        """Send a request on an idle connection, or on a new one.

        Parameters
        ----------
        payload : callable
            Returns the whole request; called just before it is sent.
        identifier : bytes
            Identifier that the response must carry.
        is_head : bool
            Whether the response has no body.
        done : callable
            Gets the result, unless the exchange is cancelled before.
        """
        exchange = Exchange(payload, identifier, is_head, done)
        self._drop_stale()
        if self._idle:
            exchange.start(self._idle.pop())
            return exchange
        task = asyncio.get_running_loop().create_task(self._open(exchange))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return exchange

    async def ask(self, payload: bytes, timeout: timedelta) -> ExchangeResult:
        """Send a request and wait for what comes of it.

        Parameters
        ----------
        payload : bytes
            The whole request.
        timeout : timedelta
            Bound on the wait, the opening of a connection included.
        """
        result: asyncio.Future[ExchangeResult] = asyncio.Future()

        def finish(found: ExchangeResult) -> None:
            if not result.done():
                result.set_result(found)

        exchange = self.send(lambda: payload, b"", False, finish)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await result
        except TimeoutError:
            return Lost(LossKind.TIMEOUT, exchange.is_sent)
        finally:
            if exchange.is_pending:
                exchange.cancel()

    def probe(self, done: Callable[[bool], None]) -> None:
        """Find out whether the searcher lives, by its connections or a new one."""
        task = asyncio.get_running_loop().create_task(self._probe(done))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def retire(self) -> None:
        """Close each connection as soon as it has no request in flight."""
        for connection in list(self._connections):
            connection.retire()

    def abort(self) -> None:
        """Close all connections at once."""
        for task in (*self._opening, *self._probes):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    async def _probe(self, done: Callable[[bool], None]) -> None:
        await asyncio.sleep(PROBE_DELAY.total_seconds())
        if self._connections:
            # A process that crashed leaves none open.
            done(True)
            return
        try:
            seconds = PROBE_TIMEOUT.total_seconds()
            async with asyncio.timeout(seconds):
                connection = await self._connect()
        except (TimeoutError, OSError):
            done(False)
            return
        self._connections.add(connection)
        self._idle.append(connection)
        done(True)

    async def _open(self, exchange: Exchange) -> None:
        self.opened += 1
        try:
            seconds = self.settings.connect_timeout.total_seconds()
            async with asyncio.timeout(seconds):
                connection = await self._connect()
        except TimeoutError:
            exchange.finish(Lost(LossKind.CONNECT_TIMEOUT, sent=False))
            return
        except OSError:
            exchange.finish(Lost(LossKind.REFUSED, sent=False))
            return
        self._connections.add(connection)
        if exchange.is_pending:
            exchange.start(connection)
        else:
            self._idle.append(connection)

    async def _connect(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, _, port = self.settings.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            self._set_options(sock)
            await loop.sock_connect(sock, (host, int(port)))
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(
                    self.clock, self.settings.identifier_header, self._changed
                ),
                sock=sock,
            )
        except BaseException:
            sock.close()
            raise
        return connection

    def _set_options(self, sock: socket.socket) -> None:
        silence_ms = int(self.settings.silence_timeout.total_seconds() * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
        if self.settings.probe_interval is None:
            return
        seconds = max(1, int(self.settings.probe_interval.total_seconds()))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)

    def _changed(self, connection: UpstreamConnection) -> None:
        if connection.state is ConnectionState.IDLE:
            self._idle.append(connection)
            return
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _drop_stale(self) -> None:
        # The last one used comes first, so that spare ones grow old and go.
        while self._idle and not self._idle[-1].is_usable:
            self._idle.pop().close_if_idle()

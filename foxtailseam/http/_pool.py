"""Pool of connections to one upstream server, with cancellable exchanges.

The server is a searcher or a service of the platform.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.http._results import ExchangeFailure, ExchangeResult, FailureKind
from foxtailseam.http._upstream_connection import (
    ConnectionState,
    ResultCallback,
    UpstreamConnection,
)

# Wait before a probe: the kernel can still accept connections for a process that
# has crashed until the process is torn down.
PROBE_DELAY = timedelta(milliseconds=20)
PROBE_TIMEOUT = timedelta(milliseconds=300)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Address, limits and timeouts of the connections to one server.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the server.
    limit : int
        Maximum number of connections, including those being opened.
    connect_timeout : timedelta
        Maximum time to open a connection.
    unacknowledged_timeout : timedelta
        Maximum time that sent data may stay unacknowledged (TCP_USER_TIMEOUT).
    identifier_header : bytes
        Lowercase name of the response header that echoes the identifier of the
        request; empty if responses have no such header.
    probe_interval : timedelta or None
        Interval of TCP keep-alive probes, in whole seconds, at least one; a
        connection that leaves one unanswered is closed. None disables probes.
    """

    address: str
    limit: int
    connect_timeout: timedelta
    unacknowledged_timeout: timedelta
    identifier_header: bytes = b""
    probe_interval: timedelta | None = None


class Exchange:
    """Request sent through a pool; can be cancelled until it has a result.

    Parameters
    ----------
    payload : callable
        Returns the complete serialized request.
    identifier : bytes
        Identifier that the response must echo.
    is_head : bool
        Whether this is a HEAD request, whose response has no body.
    done : callable
        Called with the result, unless the exchange is cancelled first.
    """

    __slots__ = ("_connection", "_done", "identifier", "is_head", "payload")

    def __init__(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: ResultCallback,
    ):
        self.payload = payload
        self.identifier = identifier
        self.is_head = is_head
        self._done: ResultCallback | None = done
        self._connection: UpstreamConnection | None = None

    @property
    def is_sent(self) -> bool:
        """Return whether the request is in flight, so that bytes may have been sent."""
        return self._connection is not None

    @property
    def is_pending(self) -> bool:
        """Return whether the exchange has neither a result nor been cancelled."""
        return self._done is not None

    def cancel(self) -> None:
        """Drop the result and close the connection if the request was sent."""
        self._done = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def start(self, connection: UpstreamConnection) -> None:
        """Send the request on an open, idle connection."""
        self._connection = connection
        connection.send(self.payload(), self.identifier, self.is_head, self.finish)

    def finish(self, result: ExchangeResult) -> None:
        """Pass the result to the callback, unless the exchange was cancelled."""
        self._connection = None
        done, self._done = self._done, None
        if done is not None:
            done(result)


class ConnectionPool:
    """Pool that opens connections on demand and reuses idle ones.

    Parameters
    ----------
    settings : PoolSettings
        Address, limits and timeouts.
    clock : Clock
        Clock that provides monotonic time in seconds.
    """

    def __init__(self, settings: PoolSettings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.opened_connections = 0
        self._limit = settings.limit
        self._connections: set[UpstreamConnection] = set()
        self._idle_connections: list[UpstreamConnection] = []
        self._opening_tasks: set[asyncio.Task] = set()
        self._probe_tasks: set[asyncio.Task] = set()

    @property
    def limit(self) -> int:
        """Return the maximum number of open connections, at least 1."""
        return self._limit

    @limit.setter
    def limit(self, value: int) -> None:
        self._limit = max(1, value)

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._connections) + len(self._opening_tasks)

    @property
    def has_idle(self) -> bool:
        """Return whether a request can be sent without a new connection.

        Closes idle connections that have expired.
        """
        self._discard_expired()
        return bool(self._idle_connections)

    @property
    def has_capacity(self) -> bool:
        """Return whether a connection is idle or may still be opened."""
        return self.has_idle or self.size < self._limit

    def send(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: ResultCallback,
    ) -> Exchange:
        """Send a request on an idle connection, or else on a new one.

        Does not check `limit`; see `has_capacity`.

        Parameters
        ----------
        payload : callable
            Returns the complete serialized request; called just before sending.
        identifier : bytes
            Identifier that the response must echo.
        is_head : bool
            Whether this is a HEAD request, whose response has no body.
        done : callable
            Called with the result, unless the exchange is cancelled first.

        Returns
        -------
        Exchange
            Handle of the request, to cancel it.
        """
        exchange = Exchange(payload, identifier, is_head, done)
        self._discard_expired()
        if self._idle_connections:
            exchange.start(self._idle_connections.pop())
            return exchange
        task = asyncio.get_running_loop().create_task(self._open_and_send(exchange))
        self._opening_tasks.add(task)
        task.add_done_callback(self._opening_tasks.discard)
        return exchange

    async def request(self, payload: bytes, timeout: timedelta) -> ExchangeResult:
        """Send a request without an identifier and wait for its result.

        Parameters
        ----------
        payload : bytes
            The complete serialized request.
        timeout : timedelta
            Maximum wait, including the time to open a connection.

        Returns
        -------
        Received or ExchangeFailure
            The response, or the reason why there is none.
        """
        result: asyncio.Future[ExchangeResult] = asyncio.Future()

        def finish(outcome: ExchangeResult) -> None:
            if not result.done():
                result.set_result(outcome)

        exchange = self.send(lambda: payload, b"", False, finish)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await result
        except TimeoutError:
            return ExchangeFailure(FailureKind.TIMEOUT, exchange.is_sent)
        finally:
            if exchange.is_pending:
                exchange.cancel()

    def probe(self, done: Callable[[bool], None]) -> None:
        """Check whether the server is alive.

        It is if a connection is open after `PROBE_DELAY`, or if a new one can be
        opened within `PROBE_TIMEOUT`; the new one stays in the pool.

        Parameters
        ----------
        done : callable
            Called with True if the server is alive, else with False.
        """
        task = asyncio.get_running_loop().create_task(self._probe(done))
        self._probe_tasks.add(task)
        task.add_done_callback(self._probe_tasks.discard)

    def close_idle(self) -> None:
        """Close all connections that have no request in flight."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def retire(self) -> None:
        """Close idle connections now and the others after their exchange."""
        for connection in list(self._connections):
            connection.retire()

    def abort(self) -> None:
        """Close all connections immediately; cancel probes and pending opens."""
        for task in (*self._opening_tasks, *self._probe_tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    async def _probe(self, done: Callable[[bool], None]) -> None:
        await asyncio.sleep(PROBE_DELAY.total_seconds())
        if self._connections:
            # A crashed process has no open connections.
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
        self._idle_connections.append(connection)
        done(True)

    async def _open_and_send(self, exchange: Exchange) -> None:
        self.opened_connections += 1
        try:
            seconds = self.settings.connect_timeout.total_seconds()
            async with asyncio.timeout(seconds):
                connection = await self._connect()
        except TimeoutError:
            exchange.finish(ExchangeFailure(FailureKind.CONNECT_TIMEOUT, sent=False))
            return
        except OSError:
            exchange.finish(ExchangeFailure(FailureKind.REFUSED, sent=False))
            return
        self._connections.add(connection)
        if exchange.is_pending:
            exchange.start(connection)
        else:
            self._idle_connections.append(connection)

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
                    self.clock,
                    self.settings.identifier_header,
                    self._on_connection_state,
                ),
                sock=sock,
            )
        except BaseException:
            sock.close()
            raise
        return connection

    def _set_options(self, sock: socket.socket) -> None:
        unacknowledged_ms = int(
            self.settings.unacknowledged_timeout.total_seconds() * 1000
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
        if self.settings.probe_interval is None:
            return
        seconds = max(1, int(self.settings.probe_interval.total_seconds()))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)

    def _on_connection_state(self, connection: UpstreamConnection) -> None:
        if connection.state is ConnectionState.IDLE:
            self._idle_connections.append(connection)
            return
        self._connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def _discard_expired(self) -> None:
        # Connections are reused in LIFO order, so that surplus ones stay idle and
        # expire.
        while self._idle_connections and not self._idle_connections[-1].is_usable:
            self._idle_connections.pop().close_if_idle()

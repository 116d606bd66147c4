"""Pool of connections to one upstream server, with cancellable exchanges.

The server is a searcher or a service of the platform.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from foxtailseam.clocks import Clock
from foxtailseam.http._buffer_space import BufferSpace
from foxtailseam.http._pool_settings import PoolSettings
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

# Called with a connection and None once it is open, or the kind of failure.
OpenCallback = Callable[[UpstreamConnection, FailureKind | None], None]


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

    __slots__ = ("_connection", "_done", "_payload", "identifier", "is_head")

    def __init__(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: ResultCallback,
    ):
        # Dropped once sent: it refers to the attempt, which refers to the exchange.
        self._payload: Callable[[], bytes] | None = payload
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
        self._payload = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def start(self, connection: UpstreamConnection) -> None:
        """Send the request on an open, idle connection."""
        self._connection = connection
        render, self._payload = self._payload, None
        try:
            payload = render()
        except Exception:
            # It is in no list of idle connections any more.
            connection.abort()
            raise
        connection.send(payload, self.identifier, self.is_head, self.finish)

    def finish(self, result: ExchangeResult) -> None:
        """Pass the result to the callback, unless the exchange was cancelled."""
        self._connection = None
        self._payload = None
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
    space : BufferSpace or None
        Space that requests and responses may take, shared by several pools; None for
        no bound.
    """

    def __init__(
        self, settings: PoolSettings, clock: Clock, space: BufferSpace | None = None
    ):
        self.settings = settings
        self.clock = clock
        self.space = space or BufferSpace()
        self.opened_connections = 0
        self._limit = settings.limit
        # All connections, those being opened included.
        self._connections: set[UpstreamConnection] = set()
        self._idle_connections: list[UpstreamConnection] = []
        # What to do with each connection that is being opened, once it is open
        # (None) or has failed.
        self._openings: dict[UpstreamConnection, OpenCallback] = {}
        self._probe_timers: set[asyncio.TimerHandle] = set()

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
        return len(self._connections)

    @property
    def has_idle(self) -> bool:
        """Return whether a request can be sent without a new connection.

        Closes idle connections that have expired.
        """
        if self._idle_connections:
            self._discard_expired()
        return bool(self._idle_connections)

    @property
    def has_capacity(self) -> bool:
        """Return whether a connection is idle or may still be opened."""
        return len(self._connections) < self._limit or self.has_idle

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
        if self.has_idle:
            exchange.start(self._idle_connections.pop())
        else:
            self.opened_connections += 1
            self._open(partial(self._start, exchange), self.settings.connect_timeout)
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

        def start() -> None:
            self._probe_timers.discard(timer)
            self._probe(done)

        loop = asyncio.get_running_loop()
        timer = loop.call_later(PROBE_DELAY.total_seconds(), start)
        self._probe_timers.add(timer)

    def connect(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Open a connection, which stays in the pool even above `limit`.

        Parameters
        ----------
        timeout : float
            Longest time to wait, in seconds.
        done : callable
            Called once with whether the connection was opened.
        """

        def on_opened(
            connection: UpstreamConnection, failure: FailureKind | None
        ) -> None:
            if failure is None:
                self._keep(connection)
            done(failure is None)

        self._open(on_opened, timedelta(seconds=timeout))

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
        for timer in self._probe_timers:
            timer.cancel()
        self._openings.clear()
        for connection in list(self._connections):
            connection.abort()

    def _probe(self, done: Callable[[bool], None]) -> None:
        if len(self._connections) > len(self._openings):
            # A crashed process has no open connections.
            done(True)
            return

        self.connect(PROBE_TIMEOUT.total_seconds(), done)

    def _open(self, on_opened: OpenCallback, timeout: timedelta) -> None:
        connection = UpstreamConnection(
            self.settings,
            self.clock,
            self._on_connection_state,
            self._on_opened,
            timeout,
            self.space,
        )
        self._connections.add(connection)
        self._openings[connection] = on_opened

    def _on_opened(
        self, connection: UpstreamConnection, failure: FailureKind | None
    ) -> None:
        if failure is not None:
            self._connections.discard(connection)
        on_opened = self._openings.pop(connection, None)
        if on_opened is not None:
            on_opened(connection, failure)

    def _start(
        self,
        exchange: Exchange,
        connection: UpstreamConnection,
        failure: FailureKind | None,
    ) -> None:
        if failure is not None:
            exchange.finish(ExchangeFailure(failure, sent=False))
        elif exchange.is_pending:
            exchange.start(connection)
        else:
            self._keep(connection)

    def _keep(self, connection: UpstreamConnection) -> None:
        if connection.is_retired:
            connection.close_if_idle()
        else:
            self._idle_connections.append(connection)

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
        now = self.clock.monotonic()
        while self._idle_connections and not self._idle_connections[-1].is_usable(now):
            self._idle_connections.pop().close_if_idle()

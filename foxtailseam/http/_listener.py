"""HTTP/1.1 listener for the connections of callers."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from foxtailseam.clocks import Clock
from foxtailseam.http._buffer_space import BufferSpace
from foxtailseam.http._call import Call
from foxtailseam.http._caller_connection import CallerConnection
from foxtailseam.http._connection_use import (
    MIN_STALLED_SECONDS,
    choose_connection_to_close,
)
from foxtailseam.http._error_responses import RESPONSE_DROPPED
from foxtailseam.http._listener_limits import ListenerLimits
from foxtailseam.http._work_schedule import WorkSchedule
from foxtailseam.launch import BACKLOG, MAX_ACCEPTED, open_listener

# Interval at which the timeouts of all connections are checked.
TIMEOUT_CHECK_SECONDS = 0.2


def _report_to_loop(error: Exception) -> None:
    loop = asyncio.get_running_loop()
    context = {"message": "the handling of a call failed", "exception": error}
    loop.call_exception_handler(context)


class Listener:
    """HTTP/1.1 server that passes complete requests to a handler.

    Parameters
    ----------
    handler : callable
        Called with each `Call`; must ensure that the call gets a response.
    clock : Clock
        Clock that provides monotonic time in seconds.
    on_rejected : callable
        Called with the status code of each request that the listener rejects
        itself because it is malformed, too slow or over a limit.
    on_error : callable
        Called with each exception of the handler, whose call is answered with status
        502, and of the checks of timeouts.
    """

    def __init__(
        self,
        handler: Callable[[Call], None],
        clock: Clock,
        on_rejected: Callable[[int], None] = lambda status: None,
        on_error: Callable[[Exception], None] = _report_to_loop,
    ):
        self.handler = handler
        self.clock = clock
        self.on_rejected = on_rejected
        self.on_error = on_error
        self.header_space = BufferSpace()
        self.unsent_space = BufferSpace()
        self.queued_requests = BufferSpace()
        self.schedule = WorkSchedule(clock, lambda error: self.on_error(error))
        self.closed_at_limit = 0
        self.limits = ListenerLimits()
        self._connections: set[CallerConnection] = set()
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._is_draining = False
        self._buffered_bytes = 0

    @property
    def limits(self) -> ListenerLimits:
        """Return the size limits and timeouts."""
        return self._limits

    @limits.setter
    def limits(self, limits: ListenerLimits) -> None:
        self._limits = limits
        self.header_space.limit = limits.buffered_header_bytes
        self.unsent_space.limit = limits.unsent_bytes
        self.queued_requests.limit = limits.queued_requests

    @property
    def is_draining(self) -> bool:
        """Return whether each connection closes after its next response."""
        return self._is_draining

    @property
    def buffered_bytes(self) -> int:
        """Return the total size of buffered request bodies, in bytes."""
        return self._buffered_bytes

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were read but not answered yet."""
        return sum(connection.in_flight for connection in self._connections)

    @property
    def unfinished(self) -> int:
        """Return the number of connections with a request or an unsent response."""
        return sum(not connection.is_finished for connection in self._connections)

    async def start(
        self, address: str, listening_socket: socket.socket | None = None
    ) -> None:
        """Start listening.

        Parameters
        ----------
        address : str
            ``IP:PORT`` to listen on.
        listening_socket : socket.socket or None
            Socket that already listens there; None to open one.
        """
        loop = asyncio.get_running_loop()
        self._socket = listening_socket or open_listener(address)
        self._socket.setblocking(False)
        # asyncio accepts as many connections in an iteration as it lets the kernel
        # queue, which is too few; so the queue gets its length again right after.
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            sock=self._socket,
            backlog=MAX_ACCEPTED,
            start_serving=False,
        )
        loop.call_soon(self._socket.listen, BACKLOG)
        await self._server.start_serving()
        self._enforce_timeouts()

    def drain(self) -> None:
        """Close each connection after its next response from now on."""
        self._is_draining = True

    async def stop_accepting(self) -> None:
        """Stop accepting connections and close the idle ones that were used.

        Those that have not sent a request yet are left until `close_idle`: closing a
        connection with unread bytes resets it, and the caller would get no answer.
        """
        await self._close_server()
        for connection in list(self._connections):
            if connection.is_idle and connection.was_used:
                connection.close()

    def close_idle(self) -> None:
        """Close the connections that have no request."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def reject_incomplete(self) -> None:
        """Answer the requests that have not arrived whole; none of them runs."""
        for connection in list(self._connections):
            connection.reject_incomplete()

    def stop(self) -> None:
        """Stop accepting connections and close all of them."""
        if self._server is not None:
            self._server.close()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        for connection in list(self._connections):
            connection.close()

    async def _close_server(self) -> None:
        """Accept the connections in the kernel's queue and close the listening socket.

        Both happen in one step, since the close resets what is in the queue.
        """
        if self._server is None or not self._server.is_serving():
            return
        waiting = []
        # Fails once the queue is empty, or without a free descriptor.
        with contextlib.suppress(OSError):
            while True:
                waiting.append(self._socket.accept()[0])
        self._server.close()
        loop = asyncio.get_running_loop()
        for sock in waiting:
            await loop.connect_accepted_socket(lambda: CallerConnection(self), sock)

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes of buffer space; return whether there were enough."""
        if self._buffered_bytes + size > self.limits.buffered_bytes:
            return False
        self._buffered_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release `size` bytes of reserved buffer space."""
        self._buffered_bytes -= size

    def make_unsent_space(self, size: int) -> bool:
        """Return whether there is space for a response of `size` bytes.

        If not, close the connections whose callers have read nothing for the longest
        time, until there is.
        """
        if size <= self.unsent_space.available:
            return True
        now = self.clock.monotonic()
        times = {item: item.stalled_time(now) for item in self._connections}
        for connection in sorted(times, key=times.get, reverse=True):
            has_space = size <= self.unsent_space.available
            if has_space or times[connection] < MIN_STALLED_SECONDS:
                return has_space
            connection.abort()
            self.on_rejected(RESPONSE_DROPPED.status)
        return size <= self.unsent_space.available

    def opened(self, connection: CallerConnection) -> None:
        """Register a new connection.

        Above the limit of connections, close one; see `choose_connection_to_close`.
        """
        self._connections.add(connection)
        if len(self._connections) > self.limits.connections:
            now = self.clock.monotonic()
            uses = {item: item.current_use(now) for item in self._connections}
            closed = choose_connection_to_close(uses, connection)
            # It is lost in a later iteration of the event loop only.
            self._connections.discard(closed)
            self.schedule.discard(closed)
            self.closed_at_limit += 1
            closed.abort()

    def closed(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _enforce_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        self._timeout_timer = loop.call_later(
            TIMEOUT_CHECK_SECONDS, self._enforce_timeouts
        )
        now = self.clock.monotonic()
        for connection in list(self._connections):
            try:
                connection.enforce_timeouts(now)
            except Exception as error:
                self.on_error(error)

"""Accepts callers' connections and hands their requests over."""

import asyncio
import socket
from collections.abc import Callable

from foxtailseam.clocks import Clock
from foxtailseam.http._call import Call
from foxtailseam.http._caller import CallerConnection, ListenerLimits
from foxtailseam.launch import BACKLOG, open_listener

# How often connections are looked through for passed time limits.
SWEEP_SECONDS = 0.2


class Listener:
    """Accepts callers' connections and gives whole requests to a handler.

    Parameters
    ----------
    handler : callable
        Gets each `Call`; must see to it that the call is answered.
    clock : Clock
        Source of monotonic time.
    rejected : callable
        Gets the status of each request that was turned away as unreadable.
    """

    def __init__(
        self,
        handler: Callable[[Call], None],
        clock: Clock,
        rejected: Callable[[int], None] = lambda status: None,
    ):
        self.handler = handler
        self.clock = clock
        self.rejected = rejected
        self.limits = ListenerLimits()
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._is_draining = False
        self._buffered_bytes = 0

    @property
    def is_draining(self) -> bool:
        """Return whether each connection ends with its next answer."""
        return self._is_draining

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes of bodies are kept."""
        return self._buffered_bytes

    @property
    def in_flight(self) -> int:
        """Return how many requests were read and not yet answered."""
        return sum(connection.in_flight for connection in self._connections)

    async def start(self, address: str, opened: socket.socket | None = None) -> None:
        """Listen on ``IP:PORT``.

        Parameters
        ----------
        address : str
            Where to listen.
        opened : socket.socket or None
            A socket that listens there already; None to open one.
        """
        loop = asyncio.get_running_loop()
        sock = opened or open_listener(address)
        sock.setblocking(False)
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=BACKLOG
        )
        self._sweep()

    def drain(self) -> None:
        """End each connection with its next answer from now on."""
        self._is_draining = True

    def stop_accepting(self) -> None:
        """Accept no more connections and close those without a request."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def stop(self) -> None:
        """Close everything."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.close()

    def reserve(self, size: int) -> bool:
        """Count so many bytes of a body as kept; return whether there was room."""
        if self._buffered_bytes + size > self.limits.buffered_bytes:
            return False
        self._buffered_bytes += size
        return True

    def release(self, size: int) -> None:
        """Count so many bytes of a body as kept no longer."""
        self._buffered_bytes -= size

    def opened(self, connection: CallerConnection) -> None:
        """Keep a new connection; make room for it where there are too many."""
        self._connections.add(connection)
        if len(self._connections) > self.limits.connections:
            idle = [item for item in self._connections if item.is_idle]
            oldest = min(idle, key=lambda item: item.idle_since, default=None)
            if oldest is not None:
                oldest.close()

    def closed(self, connection: CallerConnection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def _sweep(self) -> None:
        now = self.clock.monotonic()
        for connection in list(self._connections):
            connection.check_time(now)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_SECONDS, self._sweep)

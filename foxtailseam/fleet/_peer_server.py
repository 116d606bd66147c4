"""Server for other hosts whose connections are bounded in number, work and calls."""

import asyncio
from collections.abc import Callable

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from foxtailseam.clocks import Clock
from foxtailseam.fleet._settings import PeerLimits
from foxtailseam.http import BoundedReader, ReceivedData, WorkSchedule

# Bytes that are passed to grpclib at a time. They hold at most 227 frames, about 7 ms
# of work, which is the longest excess over a slice; smaller pieces cost more calls for
# a long message.
PIECE_BYTES = 2_048


class PeerConnection(BoundedReader):
    """Passes the data of a connection to grpclib, in turn with other connections.

    Parameters
    ----------
    server : PeerServer
        Server of the connection.
    protocol : H2Protocol
        Handles the data.
    """

    def __init__(self, server: "PeerServer", protocol: H2Protocol):
        self.silent_since = server.clock.monotonic()
        self._server = server
        self._protocol = protocol
        self._received = ReceivedData()
        self._transport: asyncio.Transport | None = None
        self._is_write_paused = False

    @property
    def calls(self) -> int:
        """Return the number of calls in progress."""
        return len(self._protocol.processor.streams)

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is being closed."""
        return self._transport.is_closing()

    @property
    def is_silent(self) -> bool:
        """Return whether no call is in progress and no data waits."""
        return not (self.calls or self._received)

    def work(self, end: float) -> bool:
        """Pass on pieces of the received data.

        Parameters
        ----------
        end : float
            Monotonic time after which no further piece is passed on.

        Returns
        -------
        bool
            Whether more can be done at once.
        """
        while self._has_work:
            self._protocol.data_received(self._received.take(PIECE_BYTES))
            self._server.limit_calls(self)
            if self._server.clock.monotonic() >= end:
                break
        return self._has_work

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    # asyncio.BufferedProtocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = transport
        self._received.attach(transport)
        self._protocol.connection_made(transport)
        self._server.opened(self)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes until it is this connection's turn."""
        self.silent_since = self._server.clock.monotonic()
        self._received.append(data)
        self._advance()

    def pause_writing(self) -> None:
        """Handle no data, which could cause responses, until the other host reads."""
        self._is_write_paused = True
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Handle data again."""
        self._is_write_paused = False
        self._protocol.resume_writing()
        self._advance()

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection, whose calls are cancelled."""
        self._server.closed(self)
        self._received.clear()
        self._protocol.connection_lost(error)

    @property
    def _has_work(self) -> bool:
        is_blocked = self._is_write_paused or self.is_closing
        return len(self._received) > 0 and not is_blocked

    def _advance(self) -> None:
        if self._has_work:
            self._server.schedule.add(self)


def _report_to_loop(error: Exception) -> None:
    context = {"message": "the data of another host failed", "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)


class PeerServer(Server):
    """Server of grpclib with limits on what the other side can cause.

    Parameters
    ----------
    *args
        Parameters of grpclib's server.
    limits : PeerLimits
        Limits of the connections.
    clock : Clock
        Clock that provides monotonic time in seconds.
    on_closed : callable
        Called when a connection is closed because of a limit.
    **options
        Options of grpclib's server.
    """

    def __init__(
        self,
        *args,
        limits: PeerLimits,
        clock: Clock,
        on_closed: Callable[[], None],
        **options,
    ):
        super().__init__(*args, **options)
        self.limits = limits
        self.clock = clock
        self.schedule = WorkSchedule(self.clock, _report_to_loop)
        self._on_closed = on_closed
        self._connections: set[PeerConnection] = set()

    def opened(self, connection: PeerConnection) -> None:
        """Register a connection; above the limit, close one.

        Parameters
        ----------
        connection : PeerConnection
            The new connection; it is closed if all others have calls.
        """
        if len(self._connections) >= self.limits.connections:
            silent = (item for item in self._connections if item.is_silent)
            oldest = min(silent, key=lambda item: item.silent_since, default=connection)
            self._close(oldest)
        if not connection.is_closing:
            self._connections.add(connection)

    def closed(self, connection: PeerConnection) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(connection)
        self.schedule.discard(connection)

    def limit_calls(self, connection: PeerConnection) -> None:
        """Close the connection with most calls if there are too many.

        Parameters
        ----------
        connection : PeerConnection
            Connection that may have begun calls.
        """
        if connection.calls <= self.limits.calls // self.limits.connections:
            return
        if sum(item.calls for item in self._connections) > self.limits.calls:
            self._close(max(self._connections, key=lambda item: item.calls))

    def _close(self, connection: PeerConnection) -> None:
        # It is lost in a later iteration of the event loop only.
        self._connections.discard(connection)
        connection.abort()
        self._on_closed()

    def _protocol_factory(self) -> PeerConnection:
        return PeerConnection(self, super()._protocol_factory())

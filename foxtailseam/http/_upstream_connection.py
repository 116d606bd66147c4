"""HTTP/1.1 client connection to an upstream server, without pipelining."""

import errno
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto

import httptools

from foxtailseam.clocks import Clock
from foxtailseam.http._buffer_space import BufferSpace, Reservation
from foxtailseam.http._client_socket import ClientSocket
from foxtailseam.http._messages import HttpResponse
from foxtailseam.http._pool_settings import PoolSettings
from foxtailseam.http._response_reader import ResponseReader
from foxtailseam.http._results import (
    ExchangeFailure,
    ExchangeResult,
    FailureKind,
    Received,
)

# A connection is not reused this close to the server's idle timeout, because
# the server could close it while the request is in transit.
IDLE_MARGIN_SECONDS = 0.75
ResultCallback = Callable[[ExchangeResult], None]


class ConnectionState(Enum):
    """State of a connection to an upstream server."""

    CONNECTING = auto()
    IDLE = auto()
    BUSY = auto()
    CLOSED = auto()


class UpstreamConnection(ResponseReader):
    """HTTP/1.1 connection to an upstream server with at most one request in flight.

    The connection closes itself instead of being reused after bytes that belong
    to no request, a response to another request, ``Connection: close``, or a
    response that arrived before the whole request was written.

    Parameters
    ----------
    settings : PoolSettings
        Address, timeouts and the header that echoes the identifier of a request.
    clock : Clock
        Clock that provides monotonic time in seconds.
    on_change : callable
        Called with this connection when it becomes idle or closes.
    on_opened : callable
        Called once with this connection and None when it is open, or the kind of
        failure if it cannot be opened.
    connect_timeout : timedelta
        Maximum time to open the connection.
    space : BufferSpace
        Space for requests that the server does not read and for responses that come
        in several parts.
    """

    __slots__ = (
        "_done",
        "_idle_since",
        "_is_retired",
        "_reservation",
        "_socket",
        "_state",
        "clock",
        "on_change",
        "on_opened",
        "space",
    )

    def __init__(
        self,
        settings: PoolSettings,
        clock: Clock,
        on_change: Callable[["UpstreamConnection"], None],
        on_opened: Callable[["UpstreamConnection", FailureKind | None], None],
        connect_timeout: timedelta,
        space: BufferSpace,
    ):
        super().__init__(settings.identifier_header)
        self.clock = clock
        self.space = space
        self.on_change = on_change
        self.on_opened = on_opened
        self._state = ConnectionState.CONNECTING
        self._idle_since = 0.0
        self._is_retired = False
        self._done: ResultCallback | None = None
        self._reservation: Reservation | None = None
        self._socket = ClientSocket(
            self,
            settings.address,
            settings.socket_options,
            connect_timeout.total_seconds(),
        )

    @property
    def state(self) -> ConnectionState:
        """Return the state of the connection."""
        return self._state

    @property
    def is_retired(self) -> bool:
        """Return whether the connection closes after its current exchange."""
        return self._is_retired

    def is_usable(self, now: float) -> bool:
        """Return whether the connection is idle and safe to reuse.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        return (
            self._state is ConnectionState.IDLE
            and now - self._idle_since < self._idle_seconds - IDLE_MARGIN_SECONDS
        )

    def send(
        self, payload: bytes, identifier: bytes, is_head: bool, done: ResultCallback
    ) -> None:
        """Send a request.

        Parameters
        ----------
        payload : bytes
            The complete serialized request.
        identifier : bytes
            Identifier that the response must echo.
        is_head : bool
            Whether this is a HEAD request, whose response has no body.
        done : callable
            Called exactly once with the result of the exchange.
        """
        self._state = ConnectionState.BUSY
        self._request_identifier = identifier
        self._is_head = is_head
        self._done = done
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        self._socket.write(payload)
        if self._socket.unsent_bytes and not self._reserve():
            self._socket.fail(OSError(errno.ENOBUFS, "no buffer space"))

    def abort(self) -> None:
        """Close immediately; a request in flight fails as cancelled."""
        self._end(ExchangeFailure(FailureKind.CANCELLED, sent=True))

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight."""
        if self._state is ConnectionState.IDLE:
            self._close()

    def retire(self) -> None:
        """Close now if idle, else after the current exchange."""
        self._is_retired = True
        self.close_if_idle()

    # ClientSocket callbacks

    def on_connected(self) -> None:
        """Become idle."""
        self._state = ConnectionState.IDLE
        self._idle_since = self.clock.monotonic()
        self.on_opened(self, None)

    def on_connect_failed(self, error: OSError) -> None:
        """Become closed and report the kind of failure."""
        self._state = ConnectionState.CLOSED
        timed_out = isinstance(error, TimeoutError)
        kind = FailureKind.CONNECT_TIMEOUT if timed_out else FailureKind.REFUSED
        self.on_opened(self, kind)

    def on_data(self, data: bytes) -> None:
        """Parse received bytes; complete or fail the exchange if they end it."""
        if self._state is not ConnectionState.BUSY:
            # No request is in flight, so these bytes belong to none.
            self._close()
            return
        self._framing_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._must_close = True
            if not self._is_complete:
                self._end(ExchangeFailure(FailureKind.MALFORMED, sent=True))
                return
        if self._is_complete and not self._is_too_large:
            self._complete_exchange()
        elif self._is_status_invalid:
            self._end(ExchangeFailure(FailureKind.MALFORMED, sent=True))
        elif self._exceeds_limits():
            self._end(ExchangeFailure(FailureKind.TOO_LARGE, sent=True))
        elif not self._reserve():
            self._end(ExchangeFailure(FailureKind.BUFFER_FULL, sent=True))

    def on_written(self) -> None:
        """Release the buffer space of the request."""
        if self._reservation is not None:
            self._reserve()

    def on_end(self, error: OSError | None) -> None:
        """Fail a request in flight and close.

        A response whose body extends to the end of the connection is complete if the
        server closed the connection without an error.
        """
        if error is not None:
            is_full = error.errno == errno.ENOBUFS
            kind = FailureKind.BUFFER_FULL if is_full else FailureKind.RESET
            self._end(ExchangeFailure(kind, sent=True))
        elif self._ends_at_close and not self._is_discarded:
            self._end(Received(self._build_response()))
        else:
            self._end(ExchangeFailure(FailureKind.CLOSED, sent=True))

    def _reserve(self) -> bool:
        """Reserve space for what is unsent or unfinished; return whether it fits."""
        if self._reservation is None:
            self._reservation = Reservation(self.space)
        size = self._socket.unsent_bytes + self._received_size()
        return self._reservation.resize(size)

    def _build_response(self) -> HttpResponse:
        if self._reservation is not None:
            self._reserve()
        return HttpResponse(
            self._status, tuple(self._headers), bytes(self._body), self._reservation
        )

    def _complete_exchange(self) -> None:
        response = self._build_response()
        if self._socket.unsent_bytes:
            # The server would parse the unsent rest of the request body as the
            # next request.
            self._must_close = True
        self._reservation = None
        self._reset_exchange()
        done, self._done = self._done, None
        if self._must_close or self._is_retired:
            self._close()
        else:
            self._state = ConnectionState.IDLE
            self._idle_since = self.clock.monotonic()
            self.on_change(self)
        done(Received(response))

    def _end(self, result: ExchangeResult) -> None:
        """Deliver a result and close, even if the handling of the result raises."""
        done, self._done = self._done, None
        try:
            if done is not None:
                done(result)
        finally:
            self._close()

    def _close(self) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        self._state = ConnectionState.CLOSED
        self._socket.close()
        # The parser refers to this connection: without it the connection is freed as
        # soon as nobody uses it any more.
        self._parser = None
        self._reservation = None
        self._reset_exchange()
        self.on_change(self)

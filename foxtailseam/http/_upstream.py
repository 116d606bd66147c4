"""One connection to a searcher: one request at a time."""

import asyncio
from collections.abc import Callable
from enum import Enum, auto

import httptools

from foxtailseam.clocks import Clock
from foxtailseam.http._exchange import (
    ExchangeFailure,
    ExchangeResult,
    FailureKind,
    Received,
)
from foxtailseam.http._messages import HttpResponse

# A searcher closes an idle connection after this time unless it says otherwise.
DEFAULT_IDLE_SECONDS = 4.0
# A request sent this close to the searcher's own time-out may cross its close.
IDLE_MARGIN_SECONDS = 0.75
# Bounds the memory that one broken searcher can take.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUS = (204, 304)

Done = Callable[[ExchangeResult], None]


class ConnectionState(Enum):
    """What a connection is doing."""

    IDLE = auto()
    BUSY = auto()
    CLOSED = auto()


class UpstreamConnection(asyncio.Protocol):
    """An open connection; closes itself once it cannot be trusted.

    It is not used again after bytes that belong to no request, after a response
    to another request, after ``Connection: close``, and after a response that
    came before the whole request was written.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    identifier_header : bytes
        Name, in small letters, of the response header that repeats the
        identifier of the request; empty where responses carry none.
    on_change : callable
        Called with this connection when it becomes idle or is closed.
    """

    def __init__(
        self,
        clock: Clock,
        identifier_header: bytes,
        on_change: Callable[["UpstreamConnection"], None],
    ):
        self.clock = clock
        self.identifier_header = identifier_header
        self.on_change = on_change
        self.used = False
        self._state = ConnectionState.CLOSED
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._idle_since = 0.0
        self._dirty = False
        self._done: Done | None = None
        self._identifier = b""
        self._is_head = False
        self._begin_response()

    @property
    def state(self) -> ConnectionState:
        """Return what the connection is doing."""
        return self._state

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent now."""
        if self._state is not ConnectionState.IDLE:
            return False
        idle = self.clock.monotonic() - self._idle_since
        return idle < self._idle_seconds - IDLE_MARGIN_SECONDS

    def send(
        self, payload: bytes, identifier: bytes, is_head: bool, done: Done
    ) -> None:
        """Send a request; `done` gets what comes of it, exactly once.

        Parameters
        ----------
        payload : bytes
            The whole request.
        identifier : bytes
            The response must carry it.
        is_head : bool
            Whether no body follows the headers of the response.
        done : callable
            Receives the result.
        """
        self._state = ConnectionState.BUSY
        self.used = True
        self._identifier = identifier
        self._is_head = is_head
        self._done = done
        self._parser = httptools.HttpResponseParser(self)
        self._begin_response()
        self._transport.write(payload)

    def abort(self) -> None:
        """Close at once; a request in flight counts as cancelled."""
        self._finish(ExchangeFailure(FailureKind.CANCELLED, sent=True))
        self._close()

    def close_if_idle(self) -> None:
        """Close unless a request is in flight."""
        if self._state is ConnectionState.IDLE:
            self._close()

    def retire(self) -> None:
        """Close once no request is in flight."""
        self._dirty = True
        self.close_if_idle()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take note of the transport."""
        self._transport = transport
        self._state = ConnectionState.IDLE
        self._idle_since = self.clock.monotonic()

    def data_received(self, data: bytes) -> None:
        """Read a part of the response."""
        if self._state is not ConnectionState.BUSY:
            # Nothing was asked, so these bytes belong to no request.
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._dirty = True
            if not self._complete:
                self._finish(ExchangeFailure(FailureKind.MALFORMED, sent=True))
                self._close()
                return
        if self._too_large:
            self._finish(ExchangeFailure(FailureKind.TOO_LARGE, sent=True))
            self._close()
        elif self._complete:
            self._end_exchange()

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        if self._state is ConnectionState.BUSY:
            if self._until_close and not self._skip:
                self._finish(Received(self._response()))
            else:
                self._finish(ExchangeFailure(FailureKind.CLOSED, sent=True))
        self._close()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Take note that the connection is gone."""
        kind = FailureKind.CLOSED if error is None else FailureKind.RESET
        self._finish(ExchangeFailure(kind, sent=True))
        if self._state is not ConnectionState.CLOSED:
            self._state = ConnectionState.CLOSED
            self.on_change(self)

    # httptools

    def on_message_begin(self) -> None:
        """Begin the next response."""
        if self._complete:
            self._dirty = True
            return
        self._begin_response()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if not self._complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide whether this is the response that was asked for."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        framed = self._status in _NO_BODY_STATUS
        for name, value in self._headers:
            lower = name.lower()
            if lower == self.identifier_header:
                self._echoed = value
            elif lower == b"keep-alive":
                self._read_keep_alive(value)
            elif lower in (b"content-length", b"transfer-encoding"):
                framed = True
        informational = self._status < _FIRST_FINAL_STATUS
        self._skip = informational or not self._belongs()
        if self._skip and not informational:
            self._dirty = True
        self._until_close = not framed and not informational
        if self._is_head and not self._skip:
            self._complete = True
            self._dirty = True

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        if self._complete:
            return
        self._size += len(body)
        self._too_large = self._size > MAX_RESPONSE_BYTES
        if not self._too_large:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """End the response, or wait on if it was another one."""
        if self._complete:
            return
        if self._skip:
            self._begin_response()
            return
        self._complete = True
        if not self._parser.should_keep_alive():
            self._dirty = True

    def _begin_response(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._status = 0
        self._echoed: bytes | None = None
        self._complete = False
        self._skip = False
        self._until_close = False
        self._too_large = False

    def _belongs(self) -> bool:
        if not self.identifier_header:
            return True
        if self._echoed is not None:
            return self._echoed == self._identifier
        # Only a failure may lack the identifier, and only where nothing
        # suggests that answers of other requests are under way.
        return self._status >= 300 and not self._dirty

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.lower() == b"timeout" and text.isdigit():
                self._idle_seconds = float(text)

    def _response(self) -> HttpResponse:
        return HttpResponse(self._status, tuple(self._headers), b"".join(self._body))

    def _end_exchange(self) -> None:
        response = self._response()
        if self._transport.get_write_buffer_size():
            # The rest of a long body would be read as the next request.
            self._dirty = True
        done, self._done = self._done, None
        if self._dirty:
            self._close()
        else:
            self._state = ConnectionState.IDLE
            self._idle_since = self.clock.monotonic()
            self.on_change(self)
        done(Received(response))

    def _finish(self, result: ExchangeResult) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(result)

    def _close(self) -> None:
        if self._state is ConnectionState.CLOSED:
            return
        self._state = ConnectionState.CLOSED
        self._transport.abort()
        self.on_change(self)

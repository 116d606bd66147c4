"""One connection of a caller: reads whole requests, within limits."""

import asyncio
import contextlib
import socket
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto
from typing import Protocol

import httptools

from foxtailseam.clocks import Clock
from foxtailseam.http._call import Call
from foxtailseam.http._messages import HttpRequest, HttpResponse, render_response

BAD_REQUEST = HttpResponse(400)
REQUEST_TIMEOUT = HttpResponse(408)
CONTENT_TOO_LARGE = HttpResponse(413)
HEADER_TOO_LARGE = 431
# Long enough for the requests whose bodies fill the memory to be answered.
NO_MEMORY = HttpResponse(503, ((b"Retry-After", b"1"),))
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

# A caller whose answers cannot be written for this long is cut off.
SILENCE_TIMEOUT = timedelta(seconds=6)
# Requests of one connection that are read ahead of the one being served.
READ_AHEAD = 8
# Space that the end of each header line takes, with its colon.
HEADER_LINE_BYTES = 4
# Place of the round-trip time in the kernel's struct tcp_info (linux/tcp.h).
TCP_INFO_RTT = 68
TCP_INFO_BYTES = 72


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What callers may send, and how slowly.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header and body of a request.
    header_timeout : timedelta
        From the first byte of a header to its end.
    body_timeout : timedelta
        From the end of the header to the end of the body.
    idle_timeout : timedelta
        Between two requests.
    connections : int
        Most open connections; beyond it the one that is idle longest goes.
    buffered_bytes : int
        Bodies of all requests that are read or served; beyond it a request with
        a body is turned away.
    long_header_status : int
        Status of the answer to a header over its limit.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    body_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=15)
    connections: int = 1_000
    buffered_bytes: int = 64 * 1024 * 1024
    long_header_status: int = HEADER_TOO_LARGE


class _Phase(Enum):
    IDLE = auto()
    HEADER = auto()
    BODY = auto()
    FAILED = auto()


class ConnectionOwner(Protocol):
    """What a connection needs of its listener."""

    clock: Clock
    limits: ListenerLimits
    handler: Callable[[Call], None]
    rejected: Callable[[int], None]
    is_draining: bool

    def reserve(self, size: int) -> bool:
        """Count so many bytes of a body as kept, if there is room."""

    def release(self, size: int) -> None:
        """Count so many bytes of a body as kept no longer."""

    def opened(self, connection: "CallerConnection") -> None:
        """Keep a new connection."""

    def closed(self, connection: "CallerConnection") -> None:
        """Forget a connection."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests are served one after the other.

    Parameters
    ----------
    listener : ConnectionOwner
        Its limits, clock and handler.
    """

    def __init__(self, listener: ConnectionOwner):
        self.listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._phase = _Phase.IDLE
        self._phase_since = listener.clock.monotonic()
        self._waiting: deque[HttpRequest] = deque()
        self._failure: HttpResponse | None = None
        self._call: Call | None = None
        self._round_trip: float | None = None
        self._requests = 0
        # Bytes of bodies of this connection that the listener counts as kept.
        self._reserved = 0
        self._keep_alive: deque[bool] = deque()
        self._begin_request()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or served."""
        return self._phase is _Phase.IDLE and self._call is None and not self._waiting

    @property
    def idle_since(self) -> float:
        """Return since when the phase lasts."""
        return self._phase_since

    @property
    def in_flight(self) -> int:
        """Return how many requests were read and not yet answered."""
        return len(self._waiting) + (self._call is not None)

    def respond(self, response: HttpResponse) -> None:
        """Write the answer to the request being served, then serve the next."""
        call, self._call = self._call, None
        self._release(len(call.request.body))
        keep_alive = self._keep_alive.popleft()
        close = not keep_alive or self.listener.is_draining
        is_head = call.request.method == b"HEAD"
        self._transport.write(render_response(response, close, is_head))
        if close:
            self._transport.close()
            return
        if self._phase is _Phase.IDLE:
            self._phase_since = self.listener.clock.monotonic()
        self._serve_next()

    def close(self) -> None:
        """Close after what was written."""
        self._transport.close()

    def check_time(self, now: float) -> None:
        """End the connection if a time limit has passed.

        Parameters
        ----------
        now : float
            Present time of the listener's clock, in seconds.
        """
        limits = self.listener.limits
        elapsed = timedelta(seconds=now - self._phase_since)
        if self._phase is _Phase.IDLE:
            if self.is_idle and elapsed > limits.idle_timeout:
                self.close()
        elif (self._phase is _Phase.HEADER and elapsed > limits.header_timeout) or (
            self._phase is _Phase.BODY and elapsed > limits.body_timeout
        ):
            self._fail(REQUEST_TIMEOUT)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take note of the transport."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        silence_ms = int(SILENCE_TIMEOUT.total_seconds() * 1000)
        with contextlib.suppress(OSError):
            # The connection may be reset already; connection_lost follows then.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
            self._round_trip = _round_trip(sock)
        self.listener.opened(self)

    def data_received(self, data: bytes) -> None:
        """Read a part of a request."""
        if self._phase is _Phase.FAILED:
            return
        if self._phase in (_Phase.IDLE, _Phase.HEADER):
            self._header_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is offered; the request itself was read.
            if self._keep_alive:
                self._keep_alive[-1] = False
            self._phase = _Phase.FAILED
        except httptools.HttpParserError:
            self._fail(BAD_REQUEST)
        else:
            self._check_size()
        if len(self._waiting) >= READ_AHEAD:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take the end of the caller's side as its leaving."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what is being served."""
        self.listener.closed(self)
        self._release(self._reserved)
        self._waiting.clear()
        self._phase = _Phase.FAILED
        call, self._call = self._call, None
        if call is not None:
            call.notify_disconnect()

    # httptools

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._phase is _Phase.FAILED:
            return
        header_size = self._header_size
        self._begin_request()
        self._header_size = header_size
        self._enter(_Phase.HEADER)
        self._arrived_at = self._phase_since

    def on_url(self, url: bytes) -> None:
        """Keep a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._header_bytes += len(name) + len(value) + HEADER_LINE_BYTES
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the header, and let a caller that waits send its body."""
        if self._phase is _Phase.FAILED:
            return
        self._enter(_Phase.BODY)
        hosts = 0
        expects = False
        for name, value in self._headers:
            lower = name.lower()
            hosts += lower == b"host"
            expects |= lower == b"expect" and value.lower() == b"100-continue"
            if lower == b"content-length":
                self._too_large |= int(value) > self.listener.limits.body_bytes
        if hosts != 1 or not self._target.startswith(b"/"):
            self._is_bad = True
        elif expects and not self._too_large and self._call is None:
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._body_size += len(body)
        if self._body_size > self.listener.limits.body_bytes:
            self._too_large = True
        elif self.listener.reserve(len(body)):
            self._reserved += len(body)
            self._body.append(body)
        else:
            self._lacks_memory = True

    def on_message_complete(self) -> None:
        """Hand over a whole request."""
        if self._phase is _Phase.FAILED:
            return
        self._check_size()
        if self._phase is _Phase.FAILED:
            return
        self._enter(_Phase.IDLE)
        self._header_size = 0
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
            self._arrived_at,
            self._network_delay(),
        )
        self._keep_alive.append(self._parser.should_keep_alive())
        self._waiting.append(request)
        self._serve_next()

    def _network_delay(self) -> float | None:
        self._requests += 1
        if self._round_trip is None:
            return None
        # The caller of a new connection has waited for its opening, too.
        return self._round_trip * (2 if self._requests == 1 else 1)

    def _begin_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._header_size = 0
        self._header_bytes = 0
        self._body_size = 0
        self._too_large = False
        self._lacks_memory = False
        self._is_bad = False
        self._arrived_at = 0.0

    def _enter(self, phase: _Phase) -> None:
        self._phase = phase
        self._phase_since = self.listener.clock.monotonic()

    def _check_size(self) -> None:
        if self._phase is _Phase.FAILED:
            return
        limit = self.listener.limits.header_bytes
        read_so_far = self._header_bytes + len(self._target)
        in_header = self._phase is _Phase.HEADER
        if read_so_far > limit or (in_header and self._header_size > limit):
            self._fail(HttpResponse(self.listener.limits.long_header_status))
        elif self._too_large:
            self._fail(CONTENT_TOO_LARGE)
        elif self._is_bad:
            self._fail(BAD_REQUEST)
        elif self._lacks_memory:
            self._fail(NO_MEMORY)

    def _release(self, size: int) -> None:
        self._reserved -= size
        self.listener.release(size)

    def _serve_next(self) -> None:
        if self._call is not None:
            return
        if self._waiting:
            self._call = Call(self._waiting.popleft(), self)
            if not self._transport.is_reading():
                self._transport.resume_reading()
            self.listener.handler(self._call)
        elif self._failure is not None:
            self._end_with(self._failure)

    def _fail(self, response: HttpResponse) -> None:
        """Answer what cannot be read, after the answers still owed, and close."""
        self._phase = _Phase.FAILED
        self._failure = response
        self._serve_next()

    def _end_with(self, response: HttpResponse) -> None:
        self.listener.rejected(response.status)
        self._transport.write(render_response(response, close=True, is_head=False))
        self._transport.close()


def _round_trip(sock: socket.socket) -> float | None:
    """Return the round-trip time that the kernel measured, in seconds."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < TCP_INFO_BYTES:
        return None
    microseconds = int.from_bytes(info[TCP_INFO_RTT:TCP_INFO_BYTES], sys.byteorder)
    return microseconds / 1e6 or None

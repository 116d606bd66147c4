"""HTTP/1.1 server connection of a caller, with size limits and timeouts."""

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
from foxtailseam.http._buffer_space import BufferSpace
from foxtailseam.http._call import Call
from foxtailseam.http._messages import (
    HEADER_FIELD_BYTES,
    HttpRequest,
    HttpResponse,
    render_response,
)
from foxtailseam.http._upgrade import head_without_upgrade

BAD_REQUEST = HttpResponse(400)
REQUEST_TIMEOUT = HttpResponse(408)
CONTENT_TOO_LARGE = HttpResponse(413)
HEADER_TOO_LARGE_STATUS = 431
# Sent in place of a response for which the buffers have no space.
RESPONSE_DROPPED = HttpResponse(502)
# By the time of the retry, the requests whose bodies fill the buffer should have
# been answered.
BUFFER_FULL = HttpResponse(503, ((b"Retry-After", b"1"),))
# Another host can take the request at once.
STOPPING = HttpResponse(503, ((b"Retry-After", b"0.05"),))
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONNECT_METHOD = b"CONNECT"

# The handler failed, so it is not known whether the request was run.
HANDLER_FAILED = HttpResponse(502)

# Time that sent response data may stay unacknowledged by the caller before the
# connection is closed.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=6)
# Time in seconds in which the rest of a rejected request is read and dropped. Closing a
# connection with unread bytes resets it, and the caller may lose the response.
LINGER_SECONDS = 0.5
# Pipelined requests that are queued on one connection before reading pauses.
MAX_QUEUED_REQUESTS = 8
# Bytes of a header line besides name and value: colon, space, CR and LF.
HEADER_LINE_OVERHEAD = 4
# Offset of tcpi_rtt, the round-trip time in microseconds, in struct tcp_info
# (linux/tcp.h).
TCP_INFO_RTT_OFFSET = 68
TCP_INFO_BYTES = 72


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Size limits and timeouts of the connections of callers.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the header and of the body of a request, in bytes.
    header_timeout : timedelta
        Maximum time from the first byte of a header to its end.
    body_timeout : timedelta
        Maximum time from the end of the header to the end of the body.
    idle_timeout : timedelta
        Maximum time between two requests of a connection.
    connections : int
        Number of open connections above which a new one closes the connection
        that has been idle longest.
    buffered_bytes : int
        Maximum total size of the buffered bodies of all requests, in bytes; a
        request whose body exceeds it is rejected with status 503.
    buffered_header_bytes : int
        Maximum memory of the headers of all requests, in bytes; a request whose
        header exceeds it is rejected with status 503.
    unsent_bytes : int
        Maximum total size of the responses that callers have not read yet, in bytes;
        a response that exceeds it is replaced by a 502.
    response_timeout : timedelta
        Maximum time from a response to its last byte being sent.
    long_header_status : int
        Status code of the response to a header that is too large.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    body_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=15)
    connections: int = 1_000
    buffered_bytes: int = 64 * 1024 * 1024
    buffered_header_bytes: int = 32 * 1024 * 1024
    unsent_bytes: int = 32 * 1024 * 1024
    response_timeout: timedelta = timedelta(seconds=30)
    long_header_status: int = HEADER_TOO_LARGE_STATUS


class _Phase(Enum):
    IDLE = auto()
    HEADER = auto()
    BODY = auto()
    FAILED = auto()
    # The response to a rejected request is written; the rest of the request is dropped.
    LINGERING = auto()


_ENDED = frozenset({_Phase.FAILED, _Phase.LINGERING})
_INCOMPLETE = frozenset({_Phase.HEADER, _Phase.BODY})


class ConnectionOwner(Protocol):
    """Interface of the listener that a connection depends on."""

    clock: Clock
    limits: ListenerLimits
    handler: Callable[[Call], None]
    on_rejected: Callable[[int], None]
    on_error: Callable[[Exception], None]
    is_draining: bool
    # Space for the headers of requests and for responses that callers do not read.
    header_space: BufferSpace
    unsent_space: BufferSpace

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes of buffer space; return whether there were enough."""

    def release(self, size: int) -> None:
        """Release `size` bytes of reserved buffer space."""

    def opened(self, connection: "CallerConnection") -> None:
        """Register a new connection."""

    def closed(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""


class CallerConnection(asyncio.Protocol):
    """HTTP/1.1 connection of a caller that serves its requests in order.

    Parameters
    ----------
    listener : ConnectionOwner
        Listener that provides limits, clock and request handler.
    """

    def __init__(self, listener: ConnectionOwner):
        self.listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._phase = _Phase.IDLE
        self._phase_since = listener.clock.monotonic()
        self._queued_requests: deque[HttpRequest] = deque()
        self._error_response: HttpResponse | None = None
        self._current_call: Call | None = None
        self._rtt: float | None = None
        self._request_count = 0
        # Buffer space that this connection has reserved at the listener, in bytes.
        self._reserved_bytes = 0
        self._keep_alive_flags: deque[bool] = deque()
        # Memory that the header of each request that is not answered takes, in bytes.
        self._header_sizes: deque[int] = deque()
        # Responses that the caller has not read, in bytes, and when the last one was
        # written.
        self._unsent_bytes = 0
        self._written_at = 0.0
        self._is_write_paused = False
        self._header_size = 0
        self._is_serving = False
        self._reset_request()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, queued or served."""
        return (
            self._phase is _Phase.IDLE
            and self._current_call is None
            and not self._queued_requests
        )

    @property
    def is_finished(self) -> bool:
        """Return whether no request is due a response and all responses are sent."""
        is_due = self._phase in _INCOMPLETE or self.in_flight > 0
        is_lingering = self._phase is _Phase.LINGERING
        is_unsent = self._transport.get_write_buffer_size() > 0
        return not (is_due or is_lingering or is_unsent)

    @property
    def was_used(self) -> bool:
        """Return whether a complete request was received."""
        return self._request_count > 0

    @property
    def idle_since(self) -> float:
        """Return when an idle connection became idle, in seconds of the clock."""
        return self._phase_since

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were read but not answered yet."""
        return len(self._queued_requests) + (self._current_call is not None)

    def respond(self, response: HttpResponse) -> None:
        """Write the response to the current request, then serve the next one.

        Closes the connection instead if it is not kept alive.
        """
        call, self._current_call = self._current_call, None
        self._release(len(call.request.body))
        self.listener.header_space.reserve(-self._header_sizes.popleft())
        keep_alive = self._keep_alive_flags.popleft()
        has_next = (
            self._queued_requests
            or self._phase in _INCOMPLETE
            or self._error_response is not None
        )
        close = not keep_alive or (self.listener.is_draining and not has_next)
        is_head = call.request.method == b"HEAD"
        self._write(response, close, is_head)
        if close:
            # Nothing that follows is served.
            self._phase = _Phase.FAILED
            self._queued_requests.clear()
            self._error_response = None
            self._transport.close()
            return
        if self._phase is _Phase.IDLE:
            self._phase_since = self.listener.clock.monotonic()
        self._serve_next()

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        self._transport.close()

    def reject_incomplete(self) -> None:
        """Answer a request that has not arrived whole, as the host stops."""
        if self._phase in _INCOMPLETE:
            self._reject(STOPPING)

    def enforce_timeouts(self, now: float) -> None:
        """Close an idle connection, or reject a request, that timed out.

        Parameters
        ----------
        now : float
            Current monotonic time of the listener's clock, in seconds.
        """
        limits = self.listener.limits
        if self._unsent_bytes:
            self._count_unsent()
            waited = timedelta(seconds=now - self._written_at)
            if self._unsent_bytes and waited > limits.response_timeout:
                self._transport.abort()
                return
        elapsed = timedelta(seconds=now - self._phase_since)
        if self._phase is _Phase.LINGERING:
            if elapsed.total_seconds() > LINGER_SECONDS:
                self.close()
        elif self._phase is _Phase.IDLE:
            if self.is_idle and elapsed > limits.idle_timeout:
                self.close()
        elif (self._phase is _Phase.HEADER and elapsed > limits.header_timeout) or (
            self._phase is _Phase.BODY and elapsed > limits.body_timeout
        ):
            self._reject(REQUEST_TIMEOUT)

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options, measure the round-trip time and register."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        unacknowledged_ms = int(UNACKNOWLEDGED_TIMEOUT.total_seconds() * 1000)
        with contextlib.suppress(OSError):
            # Fails if the connection was already reset; connection_lost follows.
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms
            )
            self._rtt = _kernel_rtt(sock)
        self.listener.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the size limits."""
        if self._phase in _ENDED:
            return
        self._received_header_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._reject(BAD_REQUEST)
        else:
            if self._phase in _INCOMPLETE and self._received_header_bytes:
                self._reserve_header()
            self._check_limits()
        if len(self._queued_requests) >= MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse received bytes, past the heads of requests that ask for an upgrade."""
        while data and self._phase not in _ENDED:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The parser takes what follows, even a body, for the other protocol.
                data = memoryview(data)[upgrade.args[0] :]
                self._ignore_upgrade()

    def _ignore_upgrade(self) -> None:
        """Parse the head that was just read again, without its Upgrade headers."""
        method = self._parser.get_method()
        if method == CONNECT_METHOD:
            self._reject(BAD_REQUEST)
            return
        head = head_without_upgrade(
            method,
            self._target,
            self._parser.get_http_version(),
            tuple(self._headers),
        )
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    def pause_writing(self) -> None:
        """Serve no further request until the caller reads."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Serve the next request."""
        self._is_write_paused = False
        self._count_unsent()
        if not self._transport.is_closing():
            self._serve_next()

    def eof_received(self) -> bool:
        """Close the connection: a half-close counts as a disconnect."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Release the buffers, drop queued requests and cancel the current one."""
        self.listener.closed(self)
        self._release(self._reserved_bytes)
        header_sizes = self._header_size + sum(self._header_sizes)
        self.listener.header_space.reserve(-header_sizes)
        self._header_size = 0
        self._header_sizes.clear()
        self.listener.unsent_space.reserve(-self._unsent_bytes)
        self._unsent_bytes = 0
        self._queued_requests.clear()
        # The parser refers to this connection, which would not be freed at once.
        self._parser = None
        self._phase = _Phase.FAILED
        call, self._current_call = self._current_call, None
        if call is not None:
            call.notify_disconnect()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a new request and its header timeout, or one that is parsed again."""
        if self._phase in _ENDED:
            return
        received_header_bytes = self._received_header_bytes
        self._reset_request()
        self._received_header_bytes = received_header_bytes
        if self._phase is not _Phase.HEADER:
            self._enter_phase(_Phase.HEADER)
        self._arrived_at = self._phase_since

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and count its size; only count a trailer."""
        self._parsed_header_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD
        if self._phase is _Phase.HEADER:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the header and answer ``Expect: 100-continue``.

        The header must have one Host field, and the target must start with a
        slash.
        """
        if self._phase in _ENDED or self._parser.should_upgrade():
            return
        self._enter_phase(_Phase.BODY)
        self._received_header_bytes = 0
        self._reserve_header()
        host_headers = 0
        expects_continue = False
        for name, value in self._headers:
            lower = name.lower()
            host_headers += lower == b"host"
            expects_continue |= lower == b"expect" and value.lower() == b"100-continue"
            if lower == b"content-length":
                self._is_body_too_large |= int(value) > self.listener.limits.body_bytes
        if host_headers != 1 or not self._target.startswith(b"/"):
            self._is_malformed = True
        elif (
            expects_continue
            and not self._is_body_too_large
            and self._current_call is None
        ):
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body if limit and buffer space allow it."""
        self._received_header_bytes = 0
        self._body_size += len(body)
        if self._body_size > self.listener.limits.body_bytes:
            self._is_body_too_large = True
        elif self.listener.reserve(len(body)):
            self._reserved_bytes += len(body)
            self._body += body
        else:
            self._is_buffer_full = True

    def on_message_complete(self) -> None:
        """Queue a complete request to be served, unless its head is parsed again."""
        if self._phase in _ENDED or self._parser.should_upgrade():
            return
        self._check_limits()
        if self._phase in _ENDED:
            return
        self._enter_phase(_Phase.IDLE)
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._arrived_at,
            self._network_delay(),
        )
        self._header_sizes.append(self._header_size)
        self._header_size = 0
        self._keep_alive_flags.append(self._parser.should_keep_alive())
        self._queued_requests.append(request)
        self._reset_request()
        self._serve_next()

    def _network_delay(self) -> float | None:
        self._request_count += 1
        if self._rtt is None:
            return None
        # The first request of a connection also waited for the TCP handshake.
        return self._rtt * (2 if self._request_count == 1 else 1)

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        # Bytes received since the request began or, in its body, since its last part:
        # the parser may hold them as an unfinished line.
        self._received_header_bytes = 0
        self._parsed_header_bytes = 0
        self._body_size = 0
        self._is_body_too_large = False
        self._is_buffer_full = False
        self._is_malformed = False
        self._arrived_at = 0.0

    def _enter_phase(self, phase: _Phase) -> None:
        self._phase = phase
        self._phase_since = self.listener.clock.monotonic()

    def _check_limits(self) -> None:
        if self._phase in _ENDED:
            return
        limit = self.listener.limits.header_bytes
        parsed_bytes = self._parsed_header_bytes + len(self._target)
        is_incomplete = self._phase in _INCOMPLETE
        if parsed_bytes > limit or (
            is_incomplete and self._received_header_bytes > limit
        ):
            self._reject(HttpResponse(self.listener.limits.long_header_status))
        elif self._is_body_too_large:
            self._reject(CONTENT_TOO_LARGE)
        elif self._is_malformed:
            self._reject(BAD_REQUEST)
        elif self._is_buffer_full:
            self._reject(BUFFER_FULL)

    def _reserve_header(self) -> None:
        """Reserve the memory for what was received of the header, or of a trailer."""
        size = self._received_header_bytes + HEADER_FIELD_BYTES * len(self._headers)
        if self._phase is _Phase.BODY:
            size += self._parsed_header_bytes + len(self._target)
        if self.listener.header_space.reserve(size - self._header_size):
            self._header_size = size
        else:
            self._is_buffer_full = True

    def _write(self, response: HttpResponse, close: bool, is_head: bool) -> None:
        space = self.listener.unsent_space
        if len(response.body) > space.available:
            response = RESPONSE_DROPPED
            self.listener.on_rejected(response.status)
        self._transport.write(self._render(response, close, is_head))
        if self._transport.get_write_buffer_size() or self._unsent_bytes:
            self._written_at = self.listener.clock.monotonic()
            self._count_unsent()

    def _count_unsent(self) -> None:
        size = self._transport.get_write_buffer_size()
        self.listener.unsent_space.reserve(size - self._unsent_bytes, is_forced=True)
        self._unsent_bytes = size

    def _release(self, size: int) -> None:
        self._reserved_bytes -= size
        self.listener.release(size)

    @property
    def _may_serve(self) -> bool:
        return self._current_call is None and not self._is_write_paused

    def _serve_next(self) -> None:
        if self._is_serving:
            # A response to the request that is being passed on: the loop goes on.
            return
        self._is_serving = True
        try:
            while self._may_serve and self._queued_requests:
                self._serve(self._queued_requests.popleft())
        finally:
            self._is_serving = False
        if self._may_serve and self._error_response is not None:
            response, self._error_response = self._error_response, None
            self._send_error(response)

    def _serve(self, request: HttpRequest) -> None:
        self._current_call = Call(request, self)
        if not self._transport.is_reading():
            self._transport.resume_reading()
        self._handle(self._current_call)

    def _handle(self, call: Call) -> None:
        try:
            self.listener.handler(call)
        except Exception as error:
            self.listener.on_error(error)
            call.respond(HANDLER_FAILED)

    def _render(self, response: HttpResponse, close: bool, is_head: bool) -> bytes:
        try:
            return render_response(response, close, is_head)
        except Exception as error:
            self.listener.on_error(error)
            return render_response(HANDLER_FAILED, close, is_head)

    def _reject(self, response: HttpResponse) -> None:
        """Send an error after all outstanding responses, and close."""
        if self._phase in _ENDED:
            return
        self._phase = _Phase.FAILED
        self._error_response = response
        self._serve_next()

    def _send_error(self, response: HttpResponse) -> None:
        self.listener.on_rejected(response.status)
        self._transport.write(render_response(response, close=True, is_head=False))
        self._transport.write_eof()
        self._enter_phase(_Phase.LINGERING)


def _kernel_rtt(sock: socket.socket) -> float | None:
    """Return the TCP round-trip time that the kernel measured, in seconds.

    None if the kernel does not provide it.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < TCP_INFO_BYTES:
        return None
    microseconds = int.from_bytes(
        info[TCP_INFO_RTT_OFFSET:TCP_INFO_BYTES], sys.byteorder
    )
    return microseconds / 1e6 or None

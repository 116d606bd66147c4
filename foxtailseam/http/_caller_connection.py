"""HTTP/1.1 server connection of a caller, with size limits and timeouts."""

import asyncio
import contextlib
import socket
from collections import deque
from datetime import timedelta

from foxtailseam.http._call import Call
from foxtailseam.http._connection_owner import ConnectionOwner
from foxtailseam.http._error_responses import (
    HANDLER_FAILED,
    REQUEST_TIMEOUT,
    STOPPING,
)
from foxtailseam.http._messages import HttpResponse, render_response
from foxtailseam.http._request_parser import ParserPhase, RequestParser
from foxtailseam.http._request_receiver import ReceivedRequest
from foxtailseam.http._request_space import RequestSpace
from foxtailseam.http._round_trip import kernel_rtt
from foxtailseam.http._unsent_responses import UnsentResponses

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Time that sent response data may stay unacknowledged by the caller before the
# connection is closed.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=6)
# Time in seconds in which the rest of a rejected request is read and dropped. Closing a
# connection with unread bytes resets it, and the caller may lose the response.
LINGER_SECONDS = 0.5
# Pipelined requests that are queued on one connection before reading pauses.
MAX_QUEUED_REQUESTS = 8


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
        self._unsent: UnsentResponses | None = None
        self._space = RequestSpace(listener)
        self._parser = RequestParser(self, listener, self._space)
        self._queue: deque[ReceivedRequest] = deque()
        # The request that is being served.
        self._current: tuple[ReceivedRequest, Call] | None = None
        # Response to a rejected request, sent after all other responses.
        self._error_response: HttpResponse | None = None
        # When the error response was written; what follows is read and dropped.
        self._lingering_since: float | None = None
        self._idle_since = listener.clock.monotonic()
        self._is_write_paused = False
        self._is_serving = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, queued or served."""
        return (
            self._parser.phase is ParserPhase.IDLE
            and self._current is None
            and not self._queue
        )

    @property
    def is_finished(self) -> bool:
        """Return whether no request is due a response and all responses are sent."""
        is_due = self._parser.is_incomplete or self.in_flight > 0
        is_lingering = self._lingering_since is not None
        is_unsent = self._transport.get_write_buffer_size() > 0
        return not (is_due or is_lingering or is_unsent)

    @property
    def was_used(self) -> bool:
        """Return whether a complete request was received."""
        return self._parser.was_used

    @property
    def idle_since(self) -> float:
        """Return when an idle connection became idle, in seconds of the clock."""
        return self._idle_since

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were read but not answered yet."""
        return len(self._queue) + (self._current is not None)

    def respond(self, response: HttpResponse) -> None:
        """Write the response to the current request, then serve the next one.

        Closes the connection instead if it is not kept alive.
        """
        received, _ = self._current
        self._current = None
        request = received.request
        self._space.release(received.header_size, len(request.body))
        close = not received.keep_alive or (
            self.listener.is_draining and not self._has_next
        )
        self._unsent.write(response, close, request.method == b"HEAD")
        if close:
            # Nothing that follows is served.
            self._parser.end()
            self._queue.clear()
            self._error_response = None
            self._transport.close()
            return
        self._idle_since = self.listener.clock.monotonic()
        self._serve_next()

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        self._transport.close()

    def stalled_time(self, now: float) -> float:
        """Return for how many seconds the caller has read none of its responses."""
        return self._unsent.stalled_time(now)

    def abort(self) -> None:
        """Close the connection at once; what is unsent is lost."""
        self._unsent.release()
        self._transport.abort()

    def reject_incomplete(self) -> None:
        """Answer a request that has not arrived whole, as the host stops."""
        if self._parser.is_incomplete:
            self.reject(STOPPING)

    def enforce_timeouts(self, now: float) -> None:
        """Close an idle connection, or reject a request, that timed out.

        Parameters
        ----------
        now : float
            Current monotonic time of the listener's clock, in seconds.
        """
        if self._unsent.size and self._unsent.is_overdue(now):
            self._transport.abort()
        elif self._lingering_since is not None:
            if now - self._lingering_since > LINGER_SECONDS:
                self.close()
        elif self.is_idle:
            elapsed = timedelta(seconds=now - self._idle_since)
            if elapsed > self.listener.limits.idle_timeout:
                self.close()
        elif self._parser.is_overdue(now):
            self.reject(REQUEST_TIMEOUT)

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options, measure the round-trip time and register."""
        self._transport = transport
        self._unsent = UnsentResponses(self.listener, transport)
        sock = transport.get_extra_info("socket")
        unacknowledged_ms = int(UNACKNOWLEDGED_TIMEOUT.total_seconds() * 1000)
        with contextlib.suppress(OSError):
            # Fails if the connection was already reset; connection_lost follows.
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms
            )
            self._parser.rtt = kernel_rtt(sock)
        self.listener.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; stop reading while many requests are queued."""
        self._parser.feed(data)
        if len(self._queue) >= MAX_QUEUED_REQUESTS:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        """Serve no further request until the caller reads."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Serve the next request."""
        self._is_write_paused = False
        self._unsent.count()
        if not self._transport.is_closing():
            self._serve_next()

    def eof_received(self) -> bool:
        """Close the connection: a half-close counts as a disconnect."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Release the buffers, drop queued requests and cancel the current one."""
        self.listener.closed(self)
        self._space.release_all()
        if self._unsent.size:
            self._unsent.release()
        self._queue.clear()
        self._parser.close()
        current, self._current = self._current, None
        if current is not None:
            _, call = current
            call.notify_disconnect()

    # Callbacks of the parser

    def enqueue(self, received: ReceivedRequest) -> None:
        """Queue a complete request to be served."""
        self._queue.append(received)
        self._serve_next()

    def reject(self, response: HttpResponse) -> None:
        """Send an error after all outstanding responses, and close."""
        if self._parser.phase is ParserPhase.ENDED:
            return
        self._parser.end()
        self._error_response = response
        self._serve_next()

    def send_continue(self) -> None:
        """Send ``100 Continue``, unless it would come before another response."""
        if self._current is None:
            self._transport.write(CONTINUE_RESPONSE)

    @property
    def _has_next(self) -> bool:
        return bool(
            self._queue
            or self._parser.is_incomplete
            or self._error_response is not None
        )

    @property
    def _may_serve(self) -> bool:
        return self._current is None and not self._is_write_paused

    def _serve_next(self) -> None:
        if self._is_serving:
            # A response to the request that is being passed on: the loop goes on.
            return
        self._is_serving = True
        try:
            while self._queue and self._may_serve:
                self._serve(self._queue.popleft())
        finally:
            self._is_serving = False
        if self._error_response is not None and self._may_serve:
            response, self._error_response = self._error_response, None
            self._send_error(response)

    def _serve(self, received: ReceivedRequest) -> None:
        call = Call(received.request, self)
        self._current = received, call
        if not self._transport.is_reading():
            self._transport.resume_reading()
        try:
            self.listener.handler(call)
        except Exception as error:
            self.listener.on_error(error)
            call.respond(HANDLER_FAILED)

    def _send_error(self, response: HttpResponse) -> None:
        self.listener.on_rejected(response.status)
        self._transport.write(render_response(response, close=True, is_head=False))
        self._transport.write_eof()
        self._lingering_since = self.listener.clock.monotonic()

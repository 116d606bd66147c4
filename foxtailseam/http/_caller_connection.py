"""HTTP/1.1 server connection of a caller, with size limits and timeouts."""

import asyncio
from datetime import timedelta

from foxtailseam.http._call import Call
from foxtailseam.http._caller_socket import prepare_socket
from foxtailseam.http._connection_owner import ConnectionOwner
from foxtailseam.http._connection_use import (
    MIN_STALLED_SECONDS,
    ConnectionUse,
    UseKind,
)
from foxtailseam.http._error_responses import (
    HANDLER_FAILED,
    REQUEST_TIMEOUT,
    STOPPING,
)
from foxtailseam.http._messages import CONTINUE_RESPONSE, HttpResponse
from foxtailseam.http._received_data import BoundedReader, ReceivedData
from foxtailseam.http._rejection import Rejection
from foxtailseam.http._request_parser import ParserPhase, RequestParser
from foxtailseam.http._request_queue import RequestQueue
from foxtailseam.http._request_receiver import ReceivedRequest
from foxtailseam.http._request_space import RequestSpace
from foxtailseam.http._unsent_responses import UnsentResponses

# Bytes that are parsed at a time. They hold no more than 19 requests or 85 chunks, so
# that little time passes and few requests are added before the limits are checked.
PIECE_BYTES = 512


class CallerConnection(BoundedReader):
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
        self._received = ReceivedData()
        self._queue = RequestQueue(listener.queued_requests)
        # The request that is being served.
        self._current: tuple[ReceivedRequest, Call] | None = None
        # Arrival of the first of the bytes that are not parsed yet.
        self.received_at = 0.0
        self._rejection = Rejection(listener)
        self._idle_since = listener.clock.monotonic()
        self._is_write_paused = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, queued or served."""
        return (
            self._parser.phase is ParserPhase.IDLE
            and self.in_flight == 0
            and not self._received
        )

    @property
    def is_finished(self) -> bool:
        """Return whether no request is due a response and all responses are sent."""
        is_due = self._is_reading_request or self.in_flight > 0
        is_lingering = self._rejection.is_lingering
        is_unsent = self._transport.get_write_buffer_size() > 0
        return not (is_due or is_lingering or is_unsent)

    @property
    def was_used(self) -> bool:
        """Return whether a complete request was received."""
        return self._parser.was_used

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were read but not answered yet."""
        return len(self._queue) + (self._current is not None)

    def current_use(self, now: float) -> ConnectionUse:
        """Return what the connection is used for.

        Parameters
        ----------
        now : float
            Current monotonic time of the listener's clock, in seconds.
        """
        if self._current is not None:
            return ConnectionUse(UseKind.SERVING, now)
        stalled_time = self.stalled_time(now)
        if stalled_time >= MIN_STALLED_SECONDS:
            return ConnectionUse(UseKind.STALLED, now - stalled_time)
        if self.in_flight or self._unsent.size:
            return ConnectionUse(UseKind.SERVING, now)
        if self.is_idle:
            return ConnectionUse(UseKind.IDLE, self._idle_since)
        return ConnectionUse(UseKind.READING, self._reading_since)

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
            self._queue.clear()
            self._end()
            self._rejection.drop()
            self._transport.close()
            return
        self._idle_since = self.listener.clock.monotonic()
        self._advance()

    def work(self, end: float) -> bool:
        """Parse received data and serve the next request; see `Worker`."""
        self._parse_until(end)
        if self._queue and self._may_serve:
            self._serve(self._queue.take())
        self._send_error_if_due()
        return self._has_work

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
        if self._is_reading_request:
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
        elif self._rejection.is_lingering:
            if self._rejection.is_over(now):
                self.close()
        elif self.is_idle:
            elapsed = timedelta(seconds=now - self._idle_since)
            if elapsed > self.listener.limits.idle_timeout:
                self.close()
        elif not self._received and self._parser.is_overdue(now):
            self.reject(REQUEST_TIMEOUT)

    # asyncio.Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options, measure the round-trip time and register."""
        self._transport = transport
        self._received.attach(transport)
        self._unsent = UnsentResponses(self.listener, transport)
        self._parser.rtt = prepare_socket(transport.get_extra_info("socket"))
        self.listener.opened(self)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes until it is this connection's turn to parse them."""
        if self._parser.phase is not ParserPhase.ENDED:
            if not self._received:
                self.received_at = self.listener.clock.monotonic()
            self._received.append(data)
            self._advance()

    def pause_writing(self) -> None:
        """Serve no further request until the caller reads."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Serve the next request."""
        self._is_write_paused = False
        self._unsent.count()
        if not self._transport.is_closing():
            self._advance()

    def eof_received(self) -> bool:
        """Close the connection: a half-close counts as a disconnect."""
        self.listener.schedule.discard(self)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Release the buffers, drop queued requests and cancel the current one."""
        self.listener.closed(self)
        self.listener.schedule.discard(self)
        self._space.release_all()
        if self._unsent.size:
            self._unsent.release()
        self._queue.clear()
        self._received.clear()
        self._parser.close()
        current, self._current = self._current, None
        if current is not None:
            _, call = current
            call.notify_disconnect()

    # Callbacks of the parser

    def enqueue(self, received: ReceivedRequest) -> None:
        """Queue a complete request to be served."""
        self._queue.append(received)

    def reject(self, response: HttpResponse) -> None:
        """Send an error after all outstanding responses, and close."""
        if self._parser.phase is ParserPhase.ENDED:
            return
        self._end()
        self._rejection.prepare(response)
        self._send_error_if_due()

    def send_continue(self) -> None:
        """Send ``100 Continue``, unless it would come before another response."""
        if not self.in_flight:
            self._transport.write(CONTINUE_RESPONSE)

    @property
    def _is_reading_request(self) -> bool:
        return self._parser.is_incomplete or len(self._received) > 0

    @property
    def _reading_since(self) -> float:
        is_parsed = self._parser.phase is not ParserPhase.IDLE
        return self._parser.phase_since if is_parsed else self.received_at

    @property
    def _has_next(self) -> bool:
        return bool(
            self._queue or self._is_reading_request or self._rejection.is_pending
        )

    @property
    def _may_serve(self) -> bool:
        return self._current is None and not self._is_write_paused

    @property
    def _may_parse(self) -> bool:
        """Return whether there is room for another request, or none in progress."""
        return self.in_flight == 0 or self._queue.has_room

    @property
    def _has_work(self) -> bool:
        has_data = len(self._received) > 0 and self._may_parse
        return has_data or (bool(self._queue) and self._may_serve)

    def _advance(self) -> None:
        """Go on in this connection's turn, with what is possible now."""
        self._send_error_if_due()
        if self._has_work:
            self.listener.schedule.add(self)

    def _parse_until(self, end: float) -> None:
        clock = self.listener.clock
        while self._received and self._may_parse:
            self._parser.feed(self._received.take(PIECE_BYTES))
            if clock.monotonic() >= end:
                return

    def _end(self) -> None:
        """Read and drop what follows."""
        self._parser.end()
        self._received.clear()

    def _send_error_if_due(self) -> None:
        if self._rejection.is_pending and not self._queue and self._may_serve:
            self._rejection.send(self._transport)

    def _serve(self, received: ReceivedRequest) -> None:
        call = Call(received.request, self)
        self._current = received, call
        try:
            self.listener.handler(call)
        except Exception as error:
            self.listener.on_error(error)
            call.respond(HANDLER_FAILED)

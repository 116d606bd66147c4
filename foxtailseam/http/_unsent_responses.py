"""Responses to a caller, and the space of those that it has not read yet."""

import asyncio
from datetime import timedelta

from foxtailseam.http._connection_owner import ConnectionOwner
from foxtailseam.http._error_responses import HANDLER_FAILED, RESPONSE_DROPPED
from foxtailseam.http._messages import HttpResponse, render_response


class UnsentResponses:
    """Writes responses and counts the bytes that the caller has not read.

    Parameters
    ----------
    listener : ConnectionOwner
        Listener that provides the space for unsent responses, and the clock.
    transport : asyncio.Transport
        Transport of the connection.
    """

    __slots__ = ("_listener", "_progressed_at", "_transport", "_written_at", "size")

    def __init__(self, listener: ConnectionOwner, transport: asyncio.Transport):
        # Number of unsent bytes when they were last counted.
        self.size = 0
        self._listener = listener
        self._transport = transport
        self._written_at = 0.0
        # When the caller last read something, or the first unsent byte was written.
        self._progressed_at = 0.0

    def write(self, response: HttpResponse, close: bool, is_head: bool) -> None:
        """Write a response, or a 502 if there is no space for its body.

        Callers that have stopped reading lose theirs before it comes to that.

        Parameters
        ----------
        response : HttpResponse
            Response to write.
        close : bool
            Whether the connection closes after the response.
        is_head : bool
            Whether it responds to a HEAD request.
        """
        if not self._listener.make_unsent_space(len(response.body)):
            response = RESPONSE_DROPPED
            self._listener.on_rejected(response.status)
        self._transport.write(self._render(response, close, is_head))
        if self._transport.get_write_buffer_size() or self.size:
            self._written_at = self._listener.clock.monotonic()
            self.count()

    def count(self) -> None:
        """Count the unsent bytes again and reserve as much space."""
        size = self._transport.get_write_buffer_size()
        if size < self.size or not self.size:
            self._progressed_at = self._listener.clock.monotonic()
        self._resize(size)

    def release(self) -> None:
        """Release the space, as the connection is lost."""
        self._resize(0)

    def stalled_time(self, now: float) -> float:
        """Return for how many seconds the caller has read none of its responses.

        Parameters
        ----------
        now : float
            Current monotonic time of the listener's clock, in seconds.
        """
        self.count()
        return now - self._progressed_at if self.size else 0.0

    def is_overdue(self, now: float) -> bool:
        """Return whether the caller has not read the responses in time.

        Parameters
        ----------
        now : float
            Current monotonic time of the listener's clock, in seconds.
        """
        self.count()
        waited = timedelta(seconds=now - self._written_at)
        return self.size > 0 and waited > self._listener.limits.response_timeout

    def _resize(self, size: int) -> None:
        self._listener.unsent_space.reserve(size - self.size, is_forced=True)
        self.size = size

    def _render(self, response: HttpResponse, close: bool, is_head: bool) -> bytes:
        try:
            return render_response(response, close, is_head)
        except Exception as error:
            self._listener.on_error(error)
            return render_response(HANDLER_FAILED, close, is_head)

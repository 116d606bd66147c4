"""Response to a request that is rejected before it has arrived whole."""

import asyncio

from foxtailseam.http._connection_owner import ConnectionOwner
from foxtailseam.http._messages import HttpResponse, render_response

# Time in seconds in which the rest of a rejected request is read and dropped. Closing a
# connection with unread bytes resets it, and the caller may lose the response.
LINGER_SECONDS = 0.5


class Rejection:
    """Error response of a connection, sent after all its other responses.

    Parameters
    ----------
    listener : ConnectionOwner
        Listener that provides the clock and counts rejected requests.
    """

    __slots__ = ("_listener", "_response", "_sent_at")

    def __init__(self, listener: ConnectionOwner):
        self._listener = listener
        self._response: HttpResponse | None = None
        self._sent_at: float | None = None

    @property
    def is_pending(self) -> bool:
        """Return whether an error response waits for other responses."""
        return self._response is not None

    @property
    def is_lingering(self) -> bool:
        """Return whether it was sent; what follows is read and dropped."""
        return self._sent_at is not None

    def is_over(self, now: float) -> bool:
        """Return whether the connection has lingered long enough after it.

        Parameters
        ----------
        now : float
            Current monotonic time of the listener's clock, in seconds.
        """
        return now - self._sent_at > LINGER_SECONDS

    def prepare(self, response: HttpResponse) -> None:
        """Set the response to send."""
        self._response = response

    def drop(self) -> None:
        """Send no response, as the connection closes."""
        self._response = None

    def send(self, transport: asyncio.Transport) -> None:
        """Send the response and end the connection's output."""
        response, self._response = self._response, None
        self._listener.on_rejected(response.status)
        transport.write(render_response(response, close=True, is_head=False))
        transport.write_eof()
        self._sent_at = self._listener.clock.monotonic()

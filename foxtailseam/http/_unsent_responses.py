"""Responses on one connection that its caller has not read yet."""

import asyncio
from datetime import timedelta

from foxtailseam.http._buffer_space import BufferSpace


class UnsentResponses:
    """Counts what is written to a connection and not sent, in a shared space.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection, which buffers what cannot be sent at once.
    space : BufferSpace
        Space that the unsent bytes of all connections share.
    """

    __slots__ = ("_size", "_space", "_transport", "_written_at", "is_paused")

    def __init__(self, transport: asyncio.Transport, space: BufferSpace):
        self._transport = transport
        self._space = space
        self._size = 0
        self._written_at = 0.0
        # Whether the caller has to read before another response is written.
        self.is_paused = False

    def has_room(self, size: int) -> bool:
        """Return whether `size` more bytes may be written."""
        return size <= self._space.available

    def write(self, data: bytes, now: float) -> None:
        """Write bytes to the transport.

        Parameters
        ----------
        data : bytes
            The response.
        now : float
            Current monotonic time in seconds.
        """
        self._transport.write(data)
        if self._size or self._transport.get_write_buffer_size():
            self._written_at = now
            self.count()

    def count(self) -> None:
        """Adjust the reservation to what is unsent now."""
        size = self._transport.get_write_buffer_size()
        self._space.reserve(size - self._size, is_forced=True)
        self._size = size

    def is_overdue(self, now: float, timeout: timedelta) -> bool:
        """Return whether a part of the last response is still unsent.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        timeout : timedelta
            Maximum time from writing a response to its last byte being sent.
        """
        if not self._size:
            return False
        self.count()
        return self._size > 0 and now - self._written_at > timeout.total_seconds()

    def release(self) -> None:
        """End the reservation of a connection that is lost."""
        self._space.reserve(-self._size)
        self._size = 0

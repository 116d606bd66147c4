"""Data that a connection has received and not processed yet, of limited size."""

import asyncio

# Number of bytes that are read from a connection in one iteration of the event loop.
READ_BYTES = 16_384
# Unprocessed bytes from which on reading pauses.
MAX_UNPROCESSED_BYTES = 16_384

# A read and the copy of what it has received are one step of the event loop, so that
# all connections can share one buffer.
_BUFFER = memoryview(bytearray(READ_BYTES))


class ReceivedData:
    """Bytes that wait to be processed, and the pauses of reading that bound them."""

    __slots__ = ("_data", "_is_paused", "_offset", "_transport")

    def __init__(self):
        self._data = b""
        self._offset = 0
        self._is_paused = False
        self._transport: asyncio.Transport | None = None

    def __len__(self) -> int:
        return len(self._data) - self._offset

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport whose reading is paused."""
        self._transport = transport

    def append(self, data: bytes) -> None:
        """Add received bytes; reading pauses at the limit."""
        self._data = self._data[self._offset :] + data if len(self) else data
        self._offset = 0
        if len(self) >= MAX_UNPROCESSED_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def take(self, size: int) -> bytes:
        """Return and remove the next bytes, at most `size`."""
        data = self._data[self._offset : self._offset + size]
        self._offset += len(data)
        if not len(self):
            self.clear()
        return data

    def clear(self) -> None:
        """Drop all bytes and resume reading."""
        self._data = b""
        self._offset = 0
        if self._is_paused and not self._transport.is_closing():
            self._is_paused = False
            self._transport.resume_reading()


class BoundedReader(asyncio.BufferedProtocol):
    """Protocol that reads at most `READ_BYTES` in an iteration of the event loop."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.data_received(bytes(_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

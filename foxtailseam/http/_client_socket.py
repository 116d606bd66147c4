"""Non-blocking TCP client socket on an event loop.

It replaces `asyncio.create_connection` where many short-lived connections are opened:
that needs a task, two futures and a transport for each one.
"""

import asyncio
import errno
import socket
from collections.abc import Iterable
from typing import Protocol

# Upper bound of the bytes that are read at once. A buffer of this size is allocated for
# each read, and most responses are far smaller.
READ_BYTES = 16 * 1024

SocketOption = tuple[int, int, int]


class SocketOwner(Protocol):
    """Receives what happens on a `ClientSocket`, never during a call to it."""

    def on_connected(self) -> None:
        """Called once the connection is open."""

    def on_connect_failed(self, error: OSError) -> None:
        """Called if the connection could not be opened; the socket is closed."""

    def on_data(self, data: bytes) -> None:
        """Called with received bytes."""

    def on_written(self) -> None:
        """Called when all bytes are sent that did not fit when they were written."""

    def on_end(self, error: OSError | None) -> None:
        """Called when the server has closed (None) or broken the connection.

        The socket is still to be closed by its owner.
        """


class ClientSocket:
    """TCP connection to a server, opened in the background.

    Parameters
    ----------
    owner : SocketOwner
        Receives the events.
    address : str
        ``IP:PORT`` of the server.
    options : iterable of (int, int, int)
        Level, name and value of each socket option to set.
    connect_timeout : float
        Maximum time to open the connection, in seconds.
    """

    __slots__ = (
        "_buffer",
        "_loop",
        "_owner",
        "_socket",
        "_timer",
    )

    def __init__(
        self,
        owner: SocketOwner,
        address: str,
        options: Iterable[SocketOption],
        connect_timeout: float,
    ):
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._buffer = bytearray()
        self._socket: socket.socket | None = None
        self._timer = self._loop.call_later(connect_timeout, self._on_timeout)
        try:
            self._connect(address, options)
        except OSError as error:
            # For example, no file descriptor is left.
            self.close()
            self._loop.call_soon(owner.on_connect_failed, error)

    @property
    def is_open(self) -> bool:
        """Return whether the socket was not closed, also while it connects."""
        return self._socket is not None

    @property
    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the kernel has not accepted yet."""
        return len(self._buffer)

    def write(self, payload: bytes) -> None:
        """Send bytes on a connected socket; what does not fit is sent later."""
        if self._buffer:
            self._buffer += payload
            return
        try:
            sent = self._socket.send(payload)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self.fail(error)
            return
        if sent < len(payload):
            self._buffer += memoryview(payload)[sent:]
            self._loop.add_writer(self._socket.fileno(), self._on_writable)

    def fail(self, error: OSError) -> None:
        """Report to the owner soon that the connection is broken."""
        self._loop.call_soon(self._end, error)

    def close(self) -> None:
        """Close at once and drop unsent bytes; no event follows."""
        self._timer.cancel()
        sock, self._socket = self._socket, None
        if sock is None:
            return
        self._loop.remove_reader(sock.fileno())
        self._loop.remove_writer(sock.fileno())
        sock.close()

    def _connect(self, address: str, options: Iterable[SocketOption]) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK
        )
        for option in options:
            self._socket.setsockopt(*option)
        code = self._socket.connect_ex((host, int(port)))
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, "connect failed")
        self._loop.add_writer(self._socket.fileno(), self._on_connected)

    def _on_connected(self) -> None:
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail_connect(OSError(code, "connect failed"))
            return
        self._timer.cancel()
        number = self._socket.fileno()
        self._loop.add_reader(number, self._on_readable)
        self._loop.remove_writer(number)
        self._owner.on_connected()

    def _on_timeout(self) -> None:
        self._fail_connect(TimeoutError(errno.ETIMEDOUT, "connect timed out"))

    def _fail_connect(self, error: OSError) -> None:
        if self.is_open:
            self.close()
            self._owner.on_connect_failed(error)

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._end(error)
            return
        if data:
            self._owner.on_data(data)
        else:
            self._end(None)

    def _on_writable(self) -> None:
        try:
            sent = self._socket.send(self._buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._end(error)
            return
        del self._buffer[:sent]
        if not self._buffer:
            self._loop.remove_writer(self._socket.fileno())
            self._owner.on_written()

    def _end(self, error: OSError | None) -> None:
        if self.is_open:
            self._owner.on_end(error)

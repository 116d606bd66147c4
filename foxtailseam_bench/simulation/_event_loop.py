"""An asyncio event loop in virtual time whose connections stay in the process."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from typing import Any, TypeVar

from foxtailseam_bench.simulation._time import START

Result = TypeVar("Result")
Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.Protocol]


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time where another selector would wait for input."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("all tasks wait, but no timer is pending")
        self.now += max(0.0, timeout)
        return super().select(0)


class _MemoryTransport(asyncio.Transport):
    """One end of a connection between two protocols on the same event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, protocol: asyncio.Protocol):
        super().__init__()
        self._loop = loop
        self._protocol = protocol
        self._peer: _MemoryTransport | None = None
        self._is_closing = False
        self._is_paused = False
        # Received and not delivered yet, as reading is paused.
        self._held: list[bytes] = []

    @classmethod
    def connect(
        cls,
        loop: asyncio.AbstractEventLoop,
        client: asyncio.Protocol,
        server: asyncio.Protocol,
    ) -> "_MemoryTransport":
        """Connect two protocols; return the transport of the client."""
        near, far = cls(loop, client), cls(loop, server)
        near._peer, far._peer = far, near
        server.connection_made(far)
        client.connection_made(near)
        return near

    def write(self, data: bytes) -> None:
        if not self._is_closing:
            self._loop.call_soon(self._peer._receive, bytes(data))

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            self._loop.call_soon(self._protocol.connection_lost, None)
            self._loop.call_soon(self._peer._receive_end)

    abort = close

    def pause_reading(self) -> None:
        self._is_paused = True

    def resume_reading(self) -> None:
        self._is_paused = False
        self._loop.call_soon(self._deliver)

    def _receive(self, data: bytes) -> None:
        self._held.append(data)
        self._deliver()

    def _deliver(self) -> None:
        while self._held and not (self._is_paused or self._is_closing):
            self._protocol.data_received(self._held.pop(0))

    def _receive_end(self) -> None:
        if not self._is_closing:
            self._protocol.eof_received()
            self.close()


class _MemoryServer(asyncio.AbstractServer):
    """Accepts connections to one address until it is closed."""

    def __init__(self, listeners: dict[Address, ProtocolFactory], address: Address):
        self._listeners = listeners
        self._address = address

    def close(self) -> None:
        self._listeners.pop(self._address, None)

    async def wait_closed(self) -> None:
        pass


class VirtualEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances from timer to timer.

    Connections lead only to servers on the same loop and take no time, so that what
    happens does not depend on the speed of the machine. The loop is also a `Clock`.
    """

    def __init__(self):
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)
        self._listeners: dict[Address, ProtocolFactory] = {}

    def time(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self._virtual_selector.now

    def monotonic(self) -> float:
        """Return the virtual seconds since the loop was created."""
        return self.time()

    def now(self) -> datetime:
        """Return the virtual wall-clock time in UTC."""
        return START + timedelta(seconds=self.time())

    async def create_server(
        self, protocol_factory: ProtocolFactory, *_: Any, sock: Any, **__: Any
    ) -> _MemoryServer:
        """Accept connections to the address that a socket is bound to."""
        address = sock.getsockname()
        sock.close()
        self._listeners[address] = protocol_factory
        return _MemoryServer(self._listeners, address)

    async def create_connection(
        self, protocol_factory: ProtocolFactory, host: str, port: int, **_: Any
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect to a server on this loop.

        Raises
        ------
        ConnectionRefusedError
            If no server listens on the address.
        """
        await asyncio.sleep(0)
        accept = self._listeners.get((host, port))
        if accept is None:
            raise ConnectionRefusedError(f"nothing listens on {host}:{port}")
        protocol = protocol_factory()
        return _MemoryTransport.connect(self, protocol, accept()), protocol


def run_in_virtual_time(main: Awaitable[Result]) -> Result:
    """Run a coroutine on a new `VirtualEventLoop` and return its result."""
    with asyncio.Runner(loop_factory=VirtualEventLoop) as runner:
        return runner.run(main)

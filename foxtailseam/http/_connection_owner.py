"""What the connection of a caller needs of its listener."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from foxtailseam.clocks import Clock
from foxtailseam.http._buffer_space import BufferSpace
from foxtailseam.http._call import Call
from foxtailseam.http._listener_limits import ListenerLimits
from foxtailseam.http._work_schedule import WorkSchedule


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
    # Number of requests that wait on their connections for earlier ones.
    queued_requests: BufferSpace
    # Turns of the connections that have received data.
    schedule: WorkSchedule

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes of buffer space; return whether there were enough."""

    def release(self, size: int) -> None:
        """Release `size` bytes of reserved buffer space."""

    def make_unsent_space(self, size: int) -> bool:
        """Return whether there is space for a response of `size` bytes.

        Connections whose callers have stopped reading are closed for it.
        """

    def opened(self, connection: asyncio.Protocol) -> None:
        """Register a new connection."""

    def closed(self, connection: asyncio.Protocol) -> None:
        """Remove a closed connection."""

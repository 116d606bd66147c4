"""Pipelined requests that wait on a connection for earlier ones."""

from collections import deque

from foxtailseam.http._buffer_space import BufferSpace
from foxtailseam.http._request_receiver import ReceivedRequest

# Requests that wait on one connection before no more are parsed.
MAX_QUEUED_REQUESTS = 8


class RequestQueue:
    """Requests of a connection that wait, counted among those of all connections.

    Parameters
    ----------
    space : BufferSpace
        Number of requests that may wait on all connections.
    """

    __slots__ = ("_requests", "_space")

    def __init__(self, space: BufferSpace):
        self._requests: deque[ReceivedRequest] = deque()
        self._space = space

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def has_room(self) -> bool:
        """Return whether a further request may wait."""
        return len(self) < MAX_QUEUED_REQUESTS and self._space.available > 0

    def append(self, request: ReceivedRequest) -> None:
        """Add a request, also above the limits, since it has been parsed."""
        self._requests.append(request)
        self._space.reserve(1, is_forced=True)

    def take(self) -> ReceivedRequest:
        """Return and remove the request that waits longest."""
        self._space.reserve(-1)
        return self._requests.popleft()

    def clear(self) -> None:
        """Drop all requests."""
        self._space.reserve(-len(self))
        self._requests.clear()

"""Requests that wait for room at the searchers of one service."""

import heapq
from collections.abc import Callable
from itertools import count

# A refused caller is not sent back sooner, nor later, than this, in seconds.
LEAST_RETRY_AFTER = 0.05
MOST_RETRY_AFTER = 2.0


class Place:
    """A place in a line, until its turn comes or it is left."""

    __slots__ = ("_on_turn",)

    def __init__(self, on_turn: Callable[[], None]):
        self._on_turn: Callable[[], None] | None = on_turn

    @property
    def is_taken(self) -> bool:
        """Return whether somebody still waits here."""
        return self._on_turn is not None

    def leave(self) -> None:
        """Give the place up."""
        self._on_turn = None

    def turn(self) -> None:
        """Let the request go on."""
        on_turn, self._on_turn = self._on_turn, None
        if on_turn is not None:
            on_turn()


class WaitingLine:
    """Orders waiting requests by priority, then by the time they have left."""

    def __init__(self):
        self._heap: list[tuple[int, float, int, Place]] = []
        self._numbers = count()

    def join(
        self, priority: int, deadline_at: float, on_turn: Callable[[], None]
    ) -> Place:
        """Wait for a turn.

        Parameters
        ----------
        priority : int
            Rank; 0 goes first.
        deadline_at : float
            Among equals, the earlier deadline goes first.
        on_turn : callable
            Called when there is room.
        """
        place = Place(on_turn)
        heapq.heappush(self._heap, (priority, deadline_at, next(self._numbers), place))
        return place

    def admit(self) -> bool:
        """Give the first in line its turn; return whether there was one."""
        while self._heap:
            place = heapq.heappop(self._heap)[-1]
            if place.is_taken:
                place.turn()
                return True
        return False

    def ahead_of(self, priority: int, deadline_at: float) -> int:
        """Return how many requests would go before a new one."""
        return sum(
            place.is_taken and (rank, deadline) <= (priority, deadline_at)
            for rank, deadline, _, place in self._heap
        )


def expected_wait(ahead: int, slots: int, typical: float) -> float:
    """Return the time in seconds until a request has room.

    Parameters
    ----------
    ahead : int
        Requests that go before it.
    slots : int
        Requests that the usable searchers run at a time.
    typical : float
        Time that one takes, in seconds.
    """
    if not ahead:
        return 0.0
    return (ahead + 1) * typical / max(1, slots)


def retry_after(wait: float) -> float:
    """Return when a refused caller should come back, in seconds."""
    return min(MOST_RETRY_AFTER, max(LEAST_RETRY_AFTER, wait))

"""Queue of requests that wait for a searcher of one service."""

import heapq
from collections.abc import Callable
from itertools import chain, count

# Bounds of the retry delay given to a refused caller, in seconds.
MIN_RETRY_AFTER = 0.05
MAX_RETRY_AFTER = 2.0
# Upper bound if a searcher has said when it takes requests again. That is known, unlike
# the length of a queue.
MAX_KNOWN_RETRY_AFTER = 30.0


class WaitEntry:
    """Entry of a `WaitQueue`, waiting until it is admitted or cancelled.

    Parameters
    ----------
    on_admitted : callable
        Called when the entry is admitted.
    """

    __slots__ = ("_on_admitted",)

    def __init__(self, on_admitted: Callable[[], None]):
        self._on_admitted: Callable[[], None] | None = on_admitted

    @property
    def is_waiting(self) -> bool:
        """Return whether the entry was neither admitted nor cancelled."""
        return self._on_admitted is not None

    def cancel(self) -> None:
        """Withdraw the entry; `on_admitted` is not called."""
        self._on_admitted = None

    def admit(self) -> None:
        """Call `on_admitted` unless the entry was admitted or cancelled before."""
        on_admitted, self._on_admitted = self._on_admitted, None
        if on_admitted is not None:
            on_admitted()


# Priority, deadline, sequence number and entry.
_HeapItem = tuple[int, float, int, WaitEntry]


class WaitQueue:
    """Priority queue of requests, ordered by priority, deadline and arrival."""

    def __init__(self):
        self._heap: list[_HeapItem] = []
        # Entries added during a pass, which does not admit them.
        self._added_in_pass: list[_HeapItem] = []
        self._is_in_pass = False
        self._sequence = count()

    def __bool__(self) -> bool:
        """Return whether there are entries, withdrawn ones included."""
        return bool(self._heap or self._added_in_pass)

    def add(
        self, priority: int, deadline_at: float, on_admitted: Callable[[], None]
    ) -> WaitEntry:
        """Add a request to the queue.

        Parameters
        ----------
        priority : int
            Priority of the request; lower values are admitted first.
        deadline_at : float
            Deadline in seconds; within a priority, earlier deadlines come first.
        on_admitted : callable
            Called when the request is admitted.

        Returns
        -------
        WaitEntry
            Entry by which the request can be withdrawn.
        """
        entry = WaitEntry(on_admitted)
        item = (priority, deadline_at, next(self._sequence), entry)
        if self._is_in_pass:
            self._added_in_pass.append(item)
        else:
            heapq.heappush(self._heap, item)
        return entry

    def admit(self, may_admit: Callable[[], bool], max_requests: float) -> None:
        """Admit waiting requests in order, each at most once, while `may_admit`.

        Requests that are added meanwhile wait for the next pass, so a pass ends
        whatever the callbacks do. A pass within a pass does nothing.

        Parameters
        ----------
        may_admit : callable
            Returns whether another request may be admitted.
        max_requests : float
            Maximum number of requests to admit; may be infinite.
        """
        if self._is_in_pass:
            return
        self._is_in_pass = True
        admitted = 0
        try:
            while self._heap and admitted < max_requests and may_admit():
                entry = heapq.heappop(self._heap)[-1]
                admitted += entry.is_waiting
                entry.admit()
        finally:
            self._is_in_pass = False
            added, self._added_in_pass = self._added_in_pass, []
            for item in added:
                heapq.heappush(self._heap, item)

    def discard_withdrawn(self) -> None:
        """Remove the entries that were withdrawn."""
        if not self._is_in_pass:
            self._heap = [item for item in self._heap if item[-1].is_waiting]
            heapq.heapify(self._heap)

    def count_ahead(self, priority: int, deadline_at: float) -> int:
        """Return the number of requests that would be admitted before a new one.

        Parameters
        ----------
        priority : int
            Priority of the new request; lower values are admitted first.
        deadline_at : float
            Deadline of the new request in seconds.
        """
        return sum(
            entry.is_waiting
            and (other_priority, other_deadline_at) <= (priority, deadline_at)
            for other_priority, other_deadline_at, _, entry in chain(
                self._heap, self._added_in_pass
            )
        )


def expected_wait(ahead: int, slots: int, median_time: float) -> float:
    """Return the expected queueing time of a request, in seconds.

    Parameters
    ----------
    ahead : int
        Number of requests that are admitted before it.
    slots : int
        Number of requests that the usable searchers run concurrently.
    median_time : float
        Median response time, in seconds.
    """
    if not ahead:
        return 0.0
    return (ahead + 1) * median_time / max(1, slots)


def clamp_retry_after(wait: float, longest: float = MAX_RETRY_AFTER) -> float:
    """Return the retry delay of a refused caller, in seconds.

    Parameters
    ----------
    wait : float
        Expected time until the request could be served, in seconds.
    longest : float
        Upper bound of the delay, in seconds.
    """
    return min(longest, max(MIN_RETRY_AFTER, wait))

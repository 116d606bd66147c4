"""Queues sub-requests until a searcher has a free slot."""

import asyncio
import heapq
from collections import defaultdict
from dataclasses import dataclass, field

from foxtailseam.clocks import Clock
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._state import SearcherState

SLOW_FACTOR = 3.0
DEFAULT_LATENCY_SECONDS = 0.005
_STATE_RANKS = {
    SearcherState.READY: 0,
    SearcherState.WARMING: 1,
    SearcherState.PROBING: 2,
}


@dataclass(order=True)
class _Waiter:
    sort_key: tuple[int, float, int]
    candidates: tuple[Searcher, ...] = field(compare=False)
    future: asyncio.Future = field(compare=False)


class SlotQueue:
    """Assigns searchers' slots to sub-requests by priority, then by deadline.

    Callers should check `can_meet_deadline` before they wait, so that a request
    that would miss its deadline is rejected at once. Must be used from a single
    event loop.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._queues: dict[tuple[str, ...], list[_Waiter]] = {}
        self._keys_by_address: defaultdict[str, set[tuple[str, ...]]] = defaultdict(set)
        self._sequence = 0

    def try_acquire(self, candidates: tuple[Searcher, ...]) -> Searcher | None:
        """Acquire a slot of the best candidate without waiting.

        Parameters
        ----------
        candidates : tuple of Searcher
            Searchers that can run the request.

        Returns
        -------
        Searcher or None
            Searcher whose slot was acquired, or None if `choose_free_searcher` finds
            none.
        """
        searcher = choose_free_searcher(candidates)
        if searcher is not None:
            searcher.acquire_slot()
        return searcher

    def can_meet_deadline(
        self, candidates: tuple[Searcher, ...], deadline: float
    ) -> bool:
        """Return whether a request is expected to be answered in time.

        The estimate uses the number of waiting requests, the number of slots and
        the lowest average latency among the candidates.

        Parameters
        ----------
        candidates : tuple of Searcher
            Searchers that can run the request.
        deadline : float
            Monotonic time, in seconds, by which the answer is needed.
        """
        latency = _expected_latency(candidates)
        slots = sum(searcher.limit for searcher in candidates)
        if slots == 0:
            return False
        key = _queue_key(candidates)
        ahead = len(self._queues.get(key, ()))
        wait = latency * (ahead + 1) / slots
        return self.clock.monotonic() + wait + latency < deadline

    async def acquire(
        self, candidates: tuple[Searcher, ...], priority: int, deadline: float
    ) -> Searcher | None:
        """Wait for a slot of one of the candidates.

        Parameters
        ----------
        candidates : tuple of Searcher
            Searchers that can run the request.
        priority : int
            Requests of higher priority are served first.
        deadline : float
            Monotonic time, in seconds, at which the wait ends; among requests of
            equal priority the earliest deadline is served first.

        Returns
        -------
        Searcher or None
            Searcher whose slot was acquired, or None after the deadline.
        """
        self._sequence += 1
        sort_key = (-priority, deadline, self._sequence)
        future = asyncio.get_running_loop().create_future()
        key = _queue_key(candidates)
        waiter = _Waiter(sort_key, candidates, future)
        heapq.heappush(self._queues.setdefault(key, []), waiter)
        for searcher in candidates:
            self._keys_by_address[searcher.address].add(key)
        try:
            remaining = deadline - self.clock.monotonic()
            return await asyncio.wait_for(future, max(0.0, remaining))
        except TimeoutError:
            return None
        finally:
            self._remove(key, waiter)

    def release(self, searcher: Searcher) -> None:
        """Release a slot and assign it to the first waiting request.

        Parameters
        ----------
        searcher : Searcher
            Searcher whose slot is released.
        """
        searcher.release_slot()
        keys = self._keys_by_address[searcher.address]
        queues = [self._queues[key] for key in keys if self._queues.get(key)]
        for queue in sorted(queues, key=lambda waiters: waiters[0]):
            self._assign_slots(queue)

    def assign_free_slots(self) -> None:
        """Assign free slots to waiting requests, after searchers changed state."""
        for queue in list(self._queues.values()):
            self._assign_slots(queue)

    def _assign_slots(self, queue: list[_Waiter]) -> None:
        while queue:
            waiter = queue[0]
            if waiter.future.done():
                heapq.heappop(queue)
                continue
            searcher = self.try_acquire(waiter.candidates)
            if searcher is None:
                return
            heapq.heappop(queue)
            waiter.future.set_result(searcher)

    def _remove(self, key: tuple[str, ...], waiter: _Waiter) -> None:
        queue = self._queues.get(key, [])
        if waiter in queue:
            queue.remove(waiter)
            heapq.heapify(queue)
        if not queue:
            self._queues.pop(key, None)
            for address in key:
                self._keys_by_address[address].discard(key)


def choose_free_searcher(candidates: tuple[Searcher, ...]) -> Searcher | None:
    """Return the best candidate with a free slot.

    A searcher that is more than `SLOW_FACTOR` times slower than the fastest
    candidate is skipped, except for one request per `PROBE_INTERVAL_SECONDS`
    that shows whether it has recovered.

    Parameters
    ----------
    candidates : tuple of Searcher
        Searchers that can run the request.

    Returns
    -------
    Searcher or None
        The candidate to use, or None if no usable one has a free slot.
    """
    free = [searcher for searcher in candidates if searcher.has_free_slot]
    if not free:
        return None
    max_latency = SLOW_FACTOR * _expected_latency(candidates)
    usable = [
        searcher
        for searcher in free
        if _latency(searcher) <= max_latency or searcher.is_due_for_probe
    ]
    return min(usable, key=_preference_key, default=None)


def _preference_key(searcher: Searcher) -> tuple[int, bool, int, float]:
    avoid = searcher.sheds_often and not searcher.is_due_for_probe
    rank = _STATE_RANKS[searcher.state]
    return rank, avoid, searcher.in_flight, _latency(searcher)


def _expected_latency(candidates: tuple[Searcher, ...]) -> float:
    latencies = [_latency(item) for item in candidates if item.state in _STATE_RANKS]
    return min(latencies, default=DEFAULT_LATENCY_SECONDS)


def _latency(searcher: Searcher) -> float:
    smoothed = searcher.smoothed_latency
    return smoothed.total_seconds() if smoothed else DEFAULT_LATENCY_SECONDS


def _queue_key(candidates: tuple[Searcher, ...]) -> tuple[str, ...]:
    return tuple(sorted(searcher.address for searcher in candidates))

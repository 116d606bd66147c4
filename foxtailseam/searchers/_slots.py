"""Queues sub-requests for the slots of searchers."""

import asyncio
import heapq
from collections import defaultdict
from dataclasses import dataclass, field

from foxtailseam.clocks import Clock
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._state import SearcherState

SLOW_FACTOR = 3.0
UNKNOWN_LATENCY_SECONDS = 0.005
_RANKS = {SearcherState.READY: 0, SearcherState.WARMING: 1, SearcherState.PROBING: 2}


@dataclass(order=True)
class _Waiter:
    order: tuple[int, float, int]
    candidates: tuple[Searcher, ...] = field(compare=False)
    future: asyncio.Future = field(compare=False)


class SlotQueue:
    """Hands out slots by priority, then by deadline; used from one event loop.

    A request that cannot be served before its deadline is turned away at once.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._waiting: dict[tuple[str, ...], list[_Waiter]] = {}
        self._keys_of: defaultdict[str, set[tuple[str, ...]]] = defaultdict(set)
        self._sequence = 0

    def take_now(self, candidates: tuple[Searcher, ...]) -> Searcher | None:
        """Take a slot of the best candidate that has one free."""
        searcher = choose_searcher(candidates)
        if searcher is not None:
            searcher.take_slot()
        return searcher

    def can_serve(self, candidates: tuple[Searcher, ...], deadline: float) -> bool:
        """Return whether a slot is likely to come free early enough."""
        latency = _expected_latency(candidates)
        slots = sum(searcher.limit for searcher in candidates)
        if slots == 0:
            return False
        key = _key(candidates)
        ahead = len(self._waiting.get(key, ()))
        wait = latency * (ahead + 1) / slots
        return self.clock.monotonic() + wait + latency < deadline

    async def take(
        self, candidates: tuple[Searcher, ...], priority: int, deadline: float
    ) -> Searcher | None:
        """Wait for a slot until `deadline` on the monotonic clock, in seconds."""
        self._sequence += 1
        order = (-priority, deadline, self._sequence)
        future = asyncio.get_running_loop().create_future()
        key = _key(candidates)
        waiter = _Waiter(order, candidates, future)
        heapq.heappush(self._waiting.setdefault(key, []), waiter)
        for searcher in candidates:
            self._keys_of[searcher.address].add(key)
        try:
            remaining = deadline - self.clock.monotonic()
            return await asyncio.wait_for(future, max(0.0, remaining))
        except TimeoutError:
            return None
        finally:
            self._discard(key, waiter)

    def release(self, searcher: Searcher) -> None:
        """Free a slot and hand it to the first that waits for it."""
        searcher.free_slot()
        keys = self._keys_of[searcher.address]
        queues = [self._waiting[key] for key in keys if self._waiting.get(key)]
        for queue in sorted(queues, key=lambda waiting: waiting[0]):
            self._serve(queue)

    def serve_all(self) -> None:
        """Hand out slots that came free by a change of state."""
        for queue in list(self._waiting.values()):
            self._serve(queue)

    def _serve(self, queue: list[_Waiter]) -> None:
        while queue:
            waiter = queue[0]
            if waiter.future.done():
                heapq.heappop(queue)
                continue
            searcher = self.take_now(waiter.candidates)
            if searcher is None:
                return
            heapq.heappop(queue)
            waiter.future.set_result(searcher)

    def _discard(self, key: tuple[str, ...], waiter: _Waiter) -> None:
        queue = self._waiting.get(key, [])
        if waiter in queue:
            queue.remove(waiter)
            heapq.heapify(queue)
        if not queue:
            self._waiting.pop(key, None)
            for address in key:
                self._keys_of[address].discard(key)


def choose_searcher(candidates: tuple[Searcher, ...]) -> Searcher | None:
    """Return the best candidate with a free slot, or None.

    A searcher several times slower than the fastest candidate is left out,
    but for a request now and then that tells whether it has recovered.
    """
    free = [searcher for searcher in candidates if searcher.has_free_slot]
    if not free:
        return None
    limit = SLOW_FACTOR * _expected_latency(candidates)
    usable = [
        searcher
        for searcher in free
        if _latency(searcher) <= limit or searcher.due_for_probe
    ]
    return min(usable, key=_preference, default=None)


def _preference(searcher: Searcher) -> tuple[int, bool, int, float]:
    avoid = searcher.sheds_often and not searcher.due_for_probe
    rank = _RANKS[searcher.state]
    return rank, avoid, searcher.in_flight, _latency(searcher)


def _expected_latency(candidates: tuple[Searcher, ...]) -> float:
    ready = [_latency(item) for item in candidates if item.state in _RANKS]
    return min(ready, default=UNKNOWN_LATENCY_SECONDS)


def _latency(searcher: Searcher) -> float:
    smoothed = searcher.smoothed_latency
    return smoothed.total_seconds() if smoothed else UNKNOWN_LATENCY_SECONDS


def _key(candidates: tuple[Searcher, ...]) -> tuple[str, ...]:
    return tuple(sorted(searcher.address for searcher in candidates))

"""A clock that jumps, and its timers."""

import heapq
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from itertools import count

START = datetime(2026, 1, 1, tzinfo=UTC)


class Timer:
    """A call that is due at a time."""

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Forget the call."""
        self.callback = None


class VirtualTime:
    """A clock that jumps to the next timer; implements `Clock` and `Timers`."""

    def __init__(self):
        # Not a ManualClock: its steps of a microsecond would leave timers due.
        self._now = 0.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = count()

    def monotonic(self) -> float:
        """Return the virtual seconds since the start."""
        return self._now

    def now(self) -> datetime:
        """Return the virtual wall time."""
        return START + timedelta(seconds=self._now)

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> Timer:
        """Call `callback` after `delay` virtual seconds."""
        timer = Timer(lambda: callback(*args))
        due = self.monotonic() + max(0.0, delay)
        heapq.heappush(self._heap, (due, next(self._numbers), timer))
        return timer

    def run_until(self, end: float) -> None:
        """Run every timer that is due until `end`."""
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            self._advance(due)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
        self._advance(end)

    def _advance(self, moment: float) -> None:
        self._now = max(self._now, moment)

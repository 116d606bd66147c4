"""A virtual clock that advances from timer to timer."""

import heapq
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from itertools import count

START = datetime(2026, 1, 1, tzinfo=UTC)


class Timer:
    """A scheduled call that can be cancelled."""

    def __init__(self, callback: Callable[[], None]):
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call; it is not made when its time comes."""
        self.callback = None


class LateTimers:
    """Timers of a host whose event loop is busy: each call is made late.

    Parameters
    ----------
    time : VirtualTime
        Clock and timers that are used.
    lag : float
        Virtual seconds by which each call is late.
    """

    def __init__(self, time: "VirtualTime", lag: float):
        self.time = time
        self.lag = lag

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> Timer:
        """Schedule a call in `delay` virtual seconds and the lag."""
        return self.time.call_later(max(0.0, delay) + self.lag, callback, *args)


class VirtualTime:
    """A clock that advances to the next timer; implements `Clock` and `Timers`."""

    def __init__(self):
        # ManualClock is not used: it advances in whole microseconds and could stop just
        # before a timer is due.
        self._now = 0.0
        self._pending: list[tuple[float, int, Timer]] = []
        self._sequence = count()

    def monotonic(self) -> float:
        """Return the virtual seconds since the clock was created."""
        return self._now

    def now(self) -> datetime:
        """Return the virtual wall-clock time in UTC."""
        return START + timedelta(seconds=self._now)

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> Timer:
        """Schedule a call in `delay` virtual seconds, at once if negative."""
        timer = Timer(lambda: callback(*args))
        due = self.monotonic() + max(0.0, delay)
        heapq.heappush(self._pending, (due, next(self._sequence), timer))
        return timer

    def run_until(self, end: float) -> None:
        """Advance the clock to `end`, running every timer that is due until then.

        `end` is in virtual seconds since the clock was created.
        """
        while self._pending and self._pending[0][0] <= end:
            due, _, timer = heapq.heappop(self._pending)
            self._advance(due)
            callback, timer.callback = timer.callback, None
            if callback is not None:
                callback()
        self._advance(end)

    def _advance(self, time: float) -> None:
        self._now = max(self._now, time)

"""Detects that the process was not running for a while."""

from datetime import timedelta

from foxtailseam.clocks._clock import Clock


class PauseDetector:
    """Reports gaps between observations on the monotonic clock.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    threshold : timedelta
        Shortest gap that counts as a pause; above the observation interval.
    """

    def __init__(self, clock: Clock, threshold: timedelta):
        self.clock = clock
        self.threshold = threshold
        self._last_seen = clock.monotonic()

    def observe(self) -> timedelta | None:
        """Return the length of the pause that just ended, or None."""
        current = self.clock.monotonic()
        gap = timedelta(seconds=current - self._last_seen)
        self._last_seen = current
        return gap if gap >= self.threshold else None

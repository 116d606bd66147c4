"""Detects periods in which the process did not run."""

from datetime import timedelta

from foxtailseam.clocks._clock import Clock


class PauseDetector:
    """Detects pauses of the process as gaps between regular observations.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    threshold : timedelta
        Shortest gap that counts as a pause; longer than the observation interval.
    """

    def __init__(self, clock: Clock, threshold: timedelta):
        self.clock = clock
        self.threshold = threshold
        self._last_observed_at = clock.monotonic()

    def observe(self) -> timedelta | None:
        """Return the time since the last observation if it was a pause, else None."""
        now = self.clock.monotonic()
        gap = timedelta(seconds=now - self._last_observed_at)
        self._last_observed_at = now
        return gap if gap >= self.threshold else None

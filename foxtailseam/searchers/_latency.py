"""Recent latency of searchers."""

from datetime import timedelta

from hdrh.histogram import HdrHistogram

from foxtailseam.clocks import Clock

WINDOW = timedelta(seconds=10)
REFRESH = timedelta(milliseconds=500)
HIGHEST_TICKS = 600_000
TICKS_PER_SECOND = 10_000
LEAST_SAMPLES = 20


class LatencyWindow:
    """Quantiles over the last one to two windows; cached between refreshes.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._current = self._new_histogram()
        self._previous = self._new_histogram()
        self._rotated_at = clock.monotonic()
        self._cache: dict[float, tuple[float, timedelta | None]] = {}

    @property
    def samples(self) -> int:
        """Return how many durations the window holds."""
        return self._current.get_total_count() + self._previous.get_total_count()

    def record(self, duration: timedelta) -> None:
        """Add one duration."""
        self._rotate()
        ticks = int(duration.total_seconds() * TICKS_PER_SECOND)
        self._current.record_value(max(1, min(HIGHEST_TICKS, ticks)))

    def quantile(self, share: float) -> timedelta | None:
        """Return the duration below which `share` (0 to 1) of the samples lie.

        None while there are fewer than `LEAST_SAMPLES`.
        """
        current = self.clock.monotonic()
        made_at, cached = self._cache.get(share, (float("-inf"), None))
        if current - made_at < REFRESH.total_seconds():
            return cached
        value = self._compute(share)
        self._cache[share] = (current, value)
        return value

    def _compute(self, share: float) -> timedelta | None:
        self._rotate()
        if self.samples < LEAST_SAMPLES:
            return None
        merged = self._new_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        ticks = merged.get_value_at_percentile(share * 100)
        return timedelta(seconds=ticks / TICKS_PER_SECOND)

    def _rotate(self) -> None:
        current = self.clock.monotonic()
        if current - self._rotated_at < WINDOW.total_seconds():
            return
        self._previous = self._current
        self._current = self._new_histogram()
        self._rotated_at = current

    @staticmethod
    def _new_histogram() -> HdrHistogram:
        return HdrHistogram(1, HIGHEST_TICKS, 1)

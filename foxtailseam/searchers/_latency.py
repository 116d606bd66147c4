"""Sliding-window latency quantiles of a searcher."""

from datetime import timedelta

from hdrh.histogram import HdrHistogram

from foxtailseam.clocks import Clock

WINDOW = timedelta(seconds=10)
REFRESH_INTERVAL = timedelta(milliseconds=500)
MAX_TICKS = 600_000
TICKS_PER_SECOND = 10_000
MIN_SAMPLES = 20


class LatencyWindow:
    """Latency quantiles over the last one to two periods of `WINDOW`.

    Quantiles are cached for `REFRESH_INTERVAL`. Durations are kept in ticks of
    0.1 ms, up to `MAX_TICKS` (60 s).

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
    def sample_count(self) -> int:
        """Return the number of durations in the window."""
        return self._current.get_total_count() + self._previous.get_total_count()

    def record(self, duration: timedelta) -> None:
        """Add one duration; one above `MAX_TICKS` is recorded as `MAX_TICKS`."""
        self._rotate()
        ticks = int(duration.total_seconds() * TICKS_PER_SECOND)
        self._current.record_value(max(1, min(MAX_TICKS, ticks)))

    def quantile(self, fraction: float) -> timedelta | None:
        """Return a quantile of the recorded durations.

        Parameters
        ----------
        fraction : float
            Fraction of the durations that are at or below the quantile, 0 to 1.

        Returns
        -------
        timedelta or None
            The quantile, computed at most `REFRESH_INTERVAL` ago; None if there
            were fewer than `MIN_SAMPLES` durations.
        """
        now = self.clock.monotonic()
        computed_at, cached = self._cache.get(fraction, (float("-inf"), None))
        if now - computed_at < REFRESH_INTERVAL.total_seconds():
            return cached
        value = self._compute(fraction)
        self._cache[fraction] = (now, value)
        return value

    def _compute(self, fraction: float) -> timedelta | None:
        self._rotate()
        if self.sample_count < MIN_SAMPLES:
            return None
        merged = self._new_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        ticks = merged.get_value_at_percentile(fraction * 100)
        return timedelta(seconds=ticks / TICKS_PER_SECOND)

    def _rotate(self) -> None:
        now = self.clock.monotonic()
        if now - self._rotated_at < WINDOW.total_seconds():
            return
        self._previous = self._current
        self._current = self._new_histogram()
        self._rotated_at = now

    @staticmethod
    def _new_histogram() -> HdrHistogram:
        return HdrHistogram(1, MAX_TICKS, 1)

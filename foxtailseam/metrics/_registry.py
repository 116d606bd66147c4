"""Metrics registry of one process; histograms use hdrhistogram."""

import threading
from collections import Counter
from datetime import timedelta

from hdrh.histogram import HdrHistogram

# Longer durations are recorded as this one.
MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
PREFIX = "foxtailseam_"


class Metrics:
    """Thread-safe registry of counters, gauges and histograms.

    Each metric is created when it is first written. Names exclude the prefix.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Increment a counter by `amount`."""
        with self._lock:
            self._counters[name] += amount

    def set(self, name: str, value: float) -> None:
        """Set a gauge to `value`."""
        with self._lock:
            self._gauges[name] = value

    def observe(self, name: str, duration: timedelta) -> None:
        """Record a duration in a histogram, in microseconds from 1 to 60,000,000."""
        value = max(1, min(MAX_DURATION_US, int(duration.total_seconds() * 1e6)))
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(value)

    def count(self, name: str) -> int:
        """Return the value of a counter; 0 if it was never incremented."""
        return self._counters[name]

    def render(self) -> str:
        """Return all metrics in the Prometheus text format; durations in seconds."""
        lines = []
        with self._lock:
            for name, value in sorted(self._counters.items()):
                lines.append(f"# TYPE {PREFIX}{name}_total counter")
                lines.append(f"{PREFIX}{name}_total {value}")
            for name, value in sorted(self._gauges.items()):
                lines.append(f"# TYPE {PREFIX}{name} gauge")
                lines.append(f"{PREFIX}{name} {value:g}")
            for name, histogram in sorted(self._histograms.items()):
                lines.extend(_render_histogram(f"{PREFIX}{name}_seconds", histogram))
        return "\n".join(lines) + "\n"


def _render_histogram(name: str, histogram: HdrHistogram) -> list[str]:
    lines = [f"# TYPE {name} summary"]
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / 1e6
        lines.append(f'{name}{{quantile="{percentile / 100:g}"}} {value:g}')
    lines.append(f"{name}_count {histogram.get_total_count()}")
    return lines

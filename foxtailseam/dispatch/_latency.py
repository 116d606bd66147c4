"""Recent response times of a route's requests at single searchers."""

from collections import deque

from foxtailseam.clocks import Clock

WINDOW_SAMPLES = 256
# Quantiles are computed after this many samples, and anew after as many more.
REFRESH_SAMPLES = 16
# Shares of the latency goal that are assumed until there are samples.
ASSUMED_MEDIAN = 0.25
ASSUMED_TAIL = 0.45
# A baseline rises by this share in a second, so that it follows slower searchers.
BASELINE_GROWTH = 0.02


class ResponseTimes:
    """Quantiles over the newest samples, in seconds.

    Parameters
    ----------
    goal : float
        Latency goal of the route in seconds; a guide until there are samples.
    """

    def __init__(self, goal: float):
        self.goal = goal
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._sorted: list[float] = []
        self._median = goal * ASSUMED_MEDIAN
        self._since_refresh = 0

    @property
    def is_known(self) -> bool:
        """Return whether there are enough samples to compare others with."""
        return bool(self._sorted)

    @property
    def median(self) -> float:
        """Return the typical response time."""
        return self._median

    def record(self, seconds: float) -> None:
        """Add a response time."""
        self._samples.append(seconds)
        self._since_refresh += 1
        if self._since_refresh >= REFRESH_SAMPLES:
            self._sorted = sorted(self._samples)
            self._median = self.quantile(0.5)
            self._since_refresh = 0

    def quantile(self, share: float) -> float:
        """Return the time within which `share` (0 to 1) of responses came."""
        if not self._sorted:
            return self.goal * (ASSUMED_MEDIAN if share <= 0.5 else ASSUMED_TAIL)
        last = len(self._sorted) - 1
        return self._sorted[min(last, int(share * len(self._sorted)))]


class LatencyBaseline:
    """The response time without a queue: the least one, forgotten slowly.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._least: float | None = None
        self._seen_at = clock.monotonic()

    def excess(self, seconds: float) -> float:
        """Take a response time; return how far it is above the least, in seconds."""
        now = self.clock.monotonic()
        if self._least is not None:
            grown = 1.0 + BASELINE_GROWTH * (now - self._seen_at)
            self._least = min(self._least * grown, seconds)
        else:
            self._least = seconds
        self._seen_at = now
        return seconds - self._least

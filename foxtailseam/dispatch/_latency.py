"""Response time statistics of a route, over the attempts at single searchers."""

from collections import deque

from foxtailseam.clocks import Clock

# Number of most recent samples over which quantiles are computed.
WINDOW_SAMPLES = 256
# Quantiles are recomputed after this many new samples.
REFRESH_SAMPLES = 16
# Median and upper quantiles assumed until there are enough samples, as fractions of
# the latency goal.
ASSUMED_MEDIAN = 0.25
ASSUMED_TAIL = 0.45
# Relative growth of a baseline per second, so that it follows searchers that have
# become slower.
BASELINE_GROWTH = 0.02
# Weight of a new sample in the moving averages of `AnswerDelay`, the number of
# deviations above the mean, and the deviation assumed at first, in seconds.
DELAY_WEIGHT = 0.25
DELAY_DEVIATIONS = 2.0
ASSUMED_DELAY_DEVIATION = 0.0015
# Upper bound of one sample in seconds, so that a pause of the process does not make
# all later answers leave too early.
MAX_DELAY_SAMPLE = 0.02


class ResponseTimes:
    """Quantiles of the most recent response times of a route.

    Parameters
    ----------
    goal : float
        Latency goal of the route in seconds, from which quantiles are estimated until
        there are enough samples.
    """

    def __init__(self, goal: float):
        self.goal = goal
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._sorted_samples: list[float] = []
        self._median = goal * ASSUMED_MEDIAN
        self._samples_since_refresh = 0

    @property
    def has_quantiles(self) -> bool:
        """Return whether the quantiles come from samples, not from the latency goal."""
        return bool(self._sorted_samples)

    @property
    def median(self) -> float:
        """Return the median response time in seconds."""
        return self._median

    def record(self, seconds: float) -> None:
        """Add a response time in seconds."""
        self._samples.append(seconds)
        self._samples_since_refresh += 1
        if self._samples_since_refresh >= REFRESH_SAMPLES:
            self._sorted_samples = sorted(self._samples)
            self._median = self.quantile(0.5)
            self._samples_since_refresh = 0

    def quantile(self, share: float) -> float:
        """Return a quantile of the response times, in seconds.

        Parameters
        ----------
        share : float
            Share of the responses that took at most the returned time, 0 to 1.
        """
        if not self._sorted_samples:
            return self.goal * (ASSUMED_MEDIAN if share <= 0.5 else ASSUMED_TAIL)
        last = len(self._sorted_samples) - 1
        return self._sorted_samples[min(last, int(share * len(self._sorted_samples)))]


class AnswerDelay:
    """Estimate of how long after their planned time answers leave this host.

    The event loop may be busy when an answer is due, and writing it takes time too.
    The estimate is the moving average of the delays plus a multiple of their moving
    deviation.

    Parameters
    ----------
    minimum : float
        Lower bound of the estimate, in seconds.
    """

    def __init__(self, minimum: float):
        self.minimum = minimum
        self._mean = minimum
        self._deviation = ASSUMED_DELAY_DEVIATION

    @property
    def seconds(self) -> float:
        """Return the estimate in seconds."""
        return max(self.minimum, self._mean + DELAY_DEVIATIONS * self._deviation)

    def record(self, seconds: float) -> None:
        """Add the delay of one answer, in seconds."""
        seconds = min(seconds, MAX_DELAY_SAMPLE)
        error = seconds - self._mean
        self._mean += DELAY_WEIGHT * error
        self._deviation += DELAY_WEIGHT * (abs(error) - self._deviation)


class LatencyBaseline:
    """Estimate of the response time without queueing.

    The estimate is the minimum of all response times, which grows slowly with time.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._minimum: float | None = None
        self._updated_at = clock.monotonic()

    @property
    def seconds(self) -> float:
        """Return the estimate in seconds; 0 before the first response time."""
        return 0.0 if self._minimum is None else self._minimum

    def record(self, seconds: float) -> None:
        """Add a response time in seconds."""
        now = self.clock.monotonic()
        if self._minimum is not None:
            growth = 1.0 + BASELINE_GROWTH * (now - self._updated_at)
            self._minimum = min(self._minimum * growth, seconds)
        else:
            self._minimum = seconds
        self._updated_at = now

    def excess(self, seconds: float) -> float:
        """Return by how many seconds a response time exceeds the estimate.

        0 if it does not, and before the first response time is recorded.

        Parameters
        ----------
        seconds : float
            Response time in seconds, which is not recorded.
        """
        return 0.0 if self._minimum is None else max(0.0, seconds - self._minimum)

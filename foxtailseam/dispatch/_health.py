"""Health of a searcher as seen by this host: slowness, failures and stalls."""

from collections import deque
from enum import Enum, auto
from math import exp2, isfinite

from foxtailseam.clocks import Clock

# Weight of a new slowness sample in the moving average. Each sample is the lower median
# of the latest responses, so that a short pause does not make a searcher slow. A host
# that seldom asks a searcher has few recent ones and goes by these.
SLOWNESS_WEIGHT = 0.4
MEDIAN_SAMPLES = 5
SAMPLE_SECONDS = 3.0
# Upper bound on the ratio of a response time to the route's median.
MAX_SLOWNESS = 20.0
# Half-life of the excess slowness of a searcher without new samples: the time between
# its last two responses, within these bounds in seconds. A host that seldom asks a
# searcher would otherwise forget between two queries that it was slow.
MIN_SLOWNESS_HALF_LIFE = 1.5
MAX_SLOWNESS_HALF_LIFE = 6.0
# Weight of a new outcome in the failure share, and its half-life in seconds.
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE = 2.0
# A searcher stalls if its oldest request is older than this many median response
# times, and than the minimum in seconds, and it has not responded since.
STALL_FACTOR = 2.5
MIN_STALL_AGE = 0.012
# Number of consecutive failures that ejects a searcher. Each further ejection lasts
# twice as long as the one before, up to the maximum in seconds.
EJECTION_THRESHOLD = 3
FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# Ejection time in seconds of a searcher whose address now belongs to another one:
# requests cannot reach it until its published entry changes.
MISDIRECTED_EJECTION_SECONDS = 10.0


class AttemptFailure(Enum):
    """Way in which one attempt failed at a searcher."""

    UNREACHABLE = auto()
    LOST = auto()
    NO_RESPONSE = auto()
    ERROR = auto()
    SHED = auto()
    MISDIRECTED = auto()


# Whether a failure suggests that the next request will not be answered either.
_COUNTS_FOR_EJECTION = {
    AttemptFailure.UNREACHABLE: True,
    AttemptFailure.LOST: True,
    AttemptFailure.NO_RESPONSE: True,
    AttemptFailure.ERROR: False,
    AttemptFailure.SHED: False,
    AttemptFailure.MISDIRECTED: True,
}


class SearcherHealth:
    """Moving averages of a searcher's slowness and failures, and its ejection.

    The averages decay with time towards those of a healthy searcher.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._slowness = 1.0
        self._slowness_half_life = MIN_SLOWNESS_HALF_LIFE
        # Time and ratio of the latest responses.
        self._recent_ratios: deque[tuple[float, float]] = deque(maxlen=MEDIAN_SAMPLES)
        self._failure_share = 0.0
        self._updated_at = clock.monotonic()
        self._last_response_at = float("-inf")
        self._consecutive_failures = 0
        self._next_ejection_seconds = FIRST_EJECTION_SECONDS
        self._ejected_until = float("-inf")

    @property
    def slowness(self) -> float:
        """Return the response time as a multiple of the route's median.

        The value is at least 0.2 and decays towards 1 without new samples.
        """
        return self.slowness_at(self.clock.monotonic())

    @property
    def last_response_at(self) -> float:
        """Return the monotonic time of the latest response; -infinity without any."""
        return self._last_response_at

    @property
    def failure_share(self) -> float:
        """Return the recent share of failures, 0 to 1; decays towards 0."""
        return self.failure_share_at(self.clock.monotonic())

    @property
    def is_ejected(self) -> bool:
        """Return whether the searcher is avoided after failures."""
        return self.is_ejected_at(self.clock.monotonic())

    def slowness_at(self, now: float) -> float:
        """Return `slowness` at a monotonic time in seconds."""
        age = now - self._updated_at
        return 1.0 + (self._slowness - 1.0) * exp2(-age / self._slowness_half_life)

    def failure_share_at(self, now: float) -> float:
        """Return `failure_share` at a monotonic time in seconds."""
        if not self._failure_share:
            return 0.0
        return self._failure_share * exp2((self._updated_at - now) / FAILURE_HALF_LIFE)

    def is_ejected_at(self, now: float) -> bool:
        """Return `is_ejected` at a monotonic time in seconds."""
        return now < self._ejected_until

    def is_stalled(self, oldest_sent_at: float, median_time: float, now: float) -> bool:
        """Return whether the oldest request is overdue without a response since.

        Parameters
        ----------
        oldest_sent_at : float
            Monotonic time in seconds at which the oldest request in flight was sent.
        median_time : float
            Median response time of that request's route, in seconds.
        now : float
            Current monotonic time in seconds.
        """
        if self._last_response_at > oldest_sent_at:
            return False
        threshold = STALL_FACTOR * median_time * max(1.0, self.slowness_at(now))
        return now - oldest_sent_at > max(MIN_STALL_AGE, threshold)

    def record_response(
        self, seconds: float, median_time: float | None, now: float
    ) -> None:
        """Record a response, which ends any ejection.

        Parameters
        ----------
        seconds : float
            Response time in seconds.
        median_time : float or None
            Median response time of the route over all searchers, in seconds; None
            if the route has too few samples, in which case the slowness is not
            updated.
        now : float
            Current monotonic time in seconds.
        """
        slowness = self.slowness_at(now)
        share = self.failure_share_at(now)
        if median_time is not None:
            ratio = min(MAX_SLOWNESS, seconds / max(median_time, 1e-4))
            self._recent_ratios.append((now, ratio))
            ratio = self._median_ratio(now)
            slowness = max(0.2, slowness + SLOWNESS_WEIGHT * (ratio - slowness))
        self._slowness = slowness
        if isfinite(self._last_response_at):
            self._slowness_half_life = min(
                MAX_SLOWNESS_HALF_LIFE,
                max(MIN_SLOWNESS_HALF_LIFE, now - self._last_response_at),
            )
        self._failure_share = share * (1.0 - FAILURE_WEIGHT)
        self._updated_at = self._last_response_at = now
        self._consecutive_failures = 0
        self._next_ejection_seconds = FIRST_EJECTION_SECONDS
        self._ejected_until = float("-inf")

    def reset_failures(self) -> None:
        """End any ejection and forget the failures."""
        self._failure_share = 0.0
        self._consecutive_failures = 0
        self._next_ejection_seconds = FIRST_EJECTION_SECONDS
        self._ejected_until = float("-inf")

    def _median_ratio(self, now: float) -> float:
        recent = self._recent_ratios
        while recent[0][0] < now - SAMPLE_SECONDS:
            recent.popleft()
        ratios = sorted([ratio for _, ratio in recent])
        return ratios[(len(ratios) - 1) // 2]

    def record_failure(self, failure: AttemptFailure) -> bool:
        """Record a failure; return whether it starts an ejection."""
        now = self.clock.monotonic()
        slowness = self.slowness_at(now)
        share = self.failure_share_at(now)
        self._slowness = slowness
        self._failure_share = share + FAILURE_WEIGHT * (1.0 - share)
        self._updated_at = now
        if failure is AttemptFailure.MISDIRECTED:
            self._ejected_until = now + MISDIRECTED_EJECTION_SECONDS
            return True
        if not _COUNTS_FOR_EJECTION[failure]:
            self._last_response_at = now
            return False
        self._consecutive_failures += 1
        if self._consecutive_failures < EJECTION_THRESHOLD or self.is_ejected_at(now):
            return False
        self._ejected_until = now + self._next_ejection_seconds
        self._next_ejection_seconds = min(
            MAX_EJECTION_SECONDS, 2 * self._next_ejection_seconds
        )
        return True

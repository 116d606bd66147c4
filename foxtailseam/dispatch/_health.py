"""What one host has seen of one searcher: its speed, failures and silence."""

import math
from collections import deque
from enum import Enum, auto

from foxtailseam.clocks import Clock

# Weight of a new sample of the speed: the median of the latest responses, since a
# searcher that pauses for a moment is not a slow one.
SPEED_WEIGHT = 0.4
MEDIAN_SAMPLES = 5
# Highest ratio of one response time to the typical one that counts.
MOST_SLOWNESS = 20.0
# Without samples, a searcher is taken for typical again after some of these.
SLOWNESS_HALF_LIFE = 1.5
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE = 2.0
# A request out for so many typical times, with nothing heard since, is a stall.
STALL_FACTOR = 2.5
LEAST_STALL = 0.012
# Failures in a row after which a searcher is left alone for a while.
EJECT_AFTER = 3
FIRST_EJECTION = 0.5
LAST_EJECTION = 4.0
# Another searcher has the address: nothing will come until the entry changes.
MISDIRECTED_EJECTION = 10.0


class Failure(Enum):
    """How a request failed at a searcher."""

    UNREACHABLE = auto()
    LOST = auto()
    SILENT = auto()
    ERROR = auto()
    SHED = auto()
    MISDIRECTED = auto()


# Whether a failure says that the next request will not be answered either.
_COUNTS_FOR_EJECTION = {
    Failure.UNREACHABLE: True,
    Failure.LOST: True,
    Failure.SILENT: True,
    Failure.ERROR: False,
    Failure.SHED: False,
    Failure.MISDIRECTED: True,
}


class SearcherHealth:
    """Moving averages that forget with time.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._slowness = 1.0
        self._ratios = deque([1.0] * MEDIAN_SAMPLES, maxlen=MEDIAN_SAMPLES)
        self._failure_share = 0.0
        self._seen_at = clock.monotonic()
        self._heard_at = float("-inf")
        self._in_a_row = 0
        self._ejection = FIRST_EJECTION
        self._ejected_until = float("-inf")

    @property
    def slowness(self) -> float:
        """Return how many typical times a response takes; fades towards 1."""
        elapsed = self.clock.monotonic() - self._seen_at
        return 1.0 + (self._slowness - 1.0) * _faded(elapsed, SLOWNESS_HALF_LIFE)

    @property
    def failure_share(self) -> float:
        """Return the recent share of failures, 0 to 1; fades towards 0."""
        elapsed = self.clock.monotonic() - self._seen_at
        return self._failure_share * _faded(elapsed, FAILURE_HALF_LIFE)

    @property
    def is_ejected(self) -> bool:
        """Return whether the searcher is to be left alone."""
        return self.clock.monotonic() < self._ejected_until

    def is_stalled(self, oldest_sent_at: float | None, typical: float) -> bool:
        """Return whether a request has been out for suspiciously long.

        Parameters
        ----------
        oldest_sent_at : float or None
            When the oldest request in flight was sent; None if there is none.
        typical : float
            Its typical response time in seconds.
        """
        if oldest_sent_at is None or self._heard_at > oldest_sent_at:
            return False
        age = self.clock.monotonic() - oldest_sent_at
        patience = STALL_FACTOR * typical * max(1.0, self.slowness)
        return age > max(LEAST_STALL, patience)

    def answered(self, seconds: float, typical: float | None) -> None:
        """Take note of a response.

        Parameters
        ----------
        seconds : float
            Response time.
        typical : float or None
            Typical response time of the same route at any searcher; None where
            too few are known, so that this one tells nothing of the speed.
        """
        slowness = self.slowness
        share = self.failure_share
        if typical is not None:
            self._ratios.append(min(MOST_SLOWNESS, seconds / max(typical, 1e-4)))
            ratio = sorted(self._ratios)[MEDIAN_SAMPLES // 2]
            slowness = max(0.2, slowness + SPEED_WEIGHT * (ratio - slowness))
        self._slowness = slowness
        self._failure_share = share * (1.0 - FAILURE_WEIGHT)
        self._seen_at = self._heard_at = self.clock.monotonic()
        self._in_a_row = 0
        self._ejection = FIRST_EJECTION
        self._ejected_until = float("-inf")

    def failed(self, failure: Failure) -> bool:
        """Take note of a failure; return whether it begins an ejection."""
        now = self.clock.monotonic()
        slowness = self.slowness
        share = self.failure_share
        self._slowness = slowness
        self._failure_share = share + FAILURE_WEIGHT * (1.0 - share)
        self._seen_at = now
        if failure is Failure.MISDIRECTED:
            self._ejected_until = now + MISDIRECTED_EJECTION
            return True
        if not _COUNTS_FOR_EJECTION[failure]:
            self._heard_at = now
            return False
        self._in_a_row += 1
        if self._in_a_row < EJECT_AFTER or self.is_ejected:
            return False
        self._ejected_until = now + self._ejection
        self._ejection = min(LAST_EJECTION, 2 * self._ejection)
        return True


def _faded(elapsed: float, half_life: float) -> float:
    return math.exp2(-elapsed / half_life)

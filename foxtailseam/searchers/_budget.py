"""Token buckets that limit extra requests and the rate of events."""

from foxtailseam.clocks import Clock


class RatioBudget:
    """Token bucket that limits extra requests to a ratio of the regular ones.

    Hedges and retries are extra requests. The bucket starts full.

    Parameters
    ----------
    burst : float
        Capacity of the bucket: the largest number of extra requests that can
        accumulate.
    """

    def __init__(self, burst: float = 5.0):
        self.burst = burst
        self._tokens = burst

    def deposit(self, ratio: float) -> None:
        """Count one regular request, which adds `ratio` tokens to the bucket.

        A ratio of 1 also returns a token that was withdrawn but not used.

        Parameters
        ----------
        ratio : float
            Extra requests allowed per regular request, at least 0.
        """
        self._tokens = min(self.burst, self._tokens + ratio)

    def withdraw(self) -> bool:
        """Take one token; return False if the bucket has none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimiter:
    """Token bucket that limits the rate of events. The bucket starts full.

    Parameters
    ----------
    rate : float
        Tokens added per second; each event takes one.
    burst : float
        Capacity of the bucket: the largest number of events at once.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, rate: float, burst: float, clock: Clock):
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self._tokens = burst
        self._refilled_at = clock.monotonic()

    def withdraw(self) -> bool:
        """Take one token; return False if the bucket has none."""
        now = self.clock.monotonic()
        refill = (now - self._refilled_at) * self.rate
        self._tokens = min(self.burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

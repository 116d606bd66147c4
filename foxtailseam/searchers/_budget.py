"""Budgets that bound extra load."""

from foxtailseam.clocks import Clock


class RatioBudget:
    """Allows extras as a share of the ordinary load.

    Parameters
    ----------
    burst : float
        Most extras that can be saved up.
    """

    def __init__(self, burst: float = 5.0):
        self.burst = burst
        self._tokens = burst

    def deposit(self, ratio: float) -> None:
        """Count one ordinary request; it earns `ratio` of an extra."""
        self._tokens = min(self.burst, self._tokens + ratio)

    def withdraw(self) -> bool:
        """Take one extra if the budget has it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateBudget:
    """Allows a number of events a second.

    Parameters
    ----------
    rate : float
        Events a second.
    burst : float
        Most events at once.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, rate: float, burst: float, clock: Clock):
        self.rate = rate
        self.burst = burst
        self.clock = clock
        self._tokens = burst
        self._filled_at = clock.monotonic()

    def withdraw(self) -> bool:
        """Take one event if the budget has it."""
        current = self.clock.monotonic()
        earned = (current - self._filled_at) * self.rate
        self._tokens = min(self.burst, self._tokens + earned)
        self._filled_at = current
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

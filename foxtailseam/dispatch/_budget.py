"""Bounds the extra load that hedges and retries put on a service."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock

# Part of the allowance that is used; the rest covers what hosts count apart.
SAFE_RATIO = 0.85
SAFE_SLACK = 0.6
_BUCKETS = 20


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The allowance of a service, shared by all hosts.

    Parameters
    ----------
    ratio : float
        Extra arrivals for each request.
    slack : float
        Extra arrivals in a window beside the ratio.
    window : timedelta
        Length of the sliding window.
    """

    ratio: float
    slack: float
    window: timedelta


class ExtraBudget:
    """Counts own requests and extras over a sliding window.

    Requests count in the window and in the one before it, whichever has more,
    so that extras for the last requests of a busy time stay allowed.

    Parameters
    ----------
    settings : BudgetSettings
        The allowance of all hosts together.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, settings: BudgetSettings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self._width = settings.window.total_seconds() / _BUCKETS
        # (bucket number, requests, extras), the newest last.
        self._buckets: deque[list[int]] = deque()

    def count_request(self) -> None:
        """Count the first sending of a request."""
        self._newest()[1] += 1

    def is_open(self, hosts: int) -> bool:
        """Return whether one more extra is allowed.

        Parameters
        ----------
        hosts : int
            Hosts that share the slack.
        """
        return self._extras() + 1 <= self._allowed(hosts)

    def left(self, hosts: int) -> float:
        """Return the unused share of the allowance, 0 to 1."""
        allowed = self._allowed(hosts)
        return max(0.0, 1.0 - self._extras() / allowed) if allowed else 0.0

    def take(self, hosts: int) -> bool:
        """Count an extra if it is allowed; return whether it is."""
        if not self.is_open(hosts):
            return False
        self.count_extra()
        return True

    def count_extra(self) -> None:
        """Count an extra that cannot be avoided."""
        self._newest()[2] += 1

    def _allowed(self, hosts: int) -> float:
        self._newest()
        allowed = SAFE_RATIO * self.settings.ratio * self._requests()
        return allowed + SAFE_SLACK * self.settings.slack / max(1, hosts)

    def _requests(self) -> int:
        number = self._buckets[-1][0]
        recent = sum(b[1] for b in self._buckets if b[0] > number - _BUCKETS)
        before = sum(b[1] for b in self._buckets if b[0] <= number - _BUCKETS)
        return max(recent, before)

    def _extras(self) -> int:
        number = self._buckets[-1][0]
        return sum(b[2] for b in self._buckets if b[0] > number - _BUCKETS)

    def _newest(self) -> list[int]:
        number = int(self.clock.monotonic() / self._width)
        buckets = self._buckets
        if not buckets or buckets[-1][0] < number:
            buckets.append([number, 0, 0])
            while buckets[0][0] <= number - 2 * _BUCKETS:
                buckets.popleft()
        return buckets[-1]

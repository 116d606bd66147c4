"""Budget that bounds the load which hedges and retries add to a service."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock

# Fractions of the configured ratio and slack that a host uses. The remainder allows
# for differences between hosts, which count their requests independently.
RATIO_SAFETY_FACTOR = 0.85
SLACK_SAFETY_FACTOR = 0.6
_BUCKETS = 20


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Allowance of extra requests for a service, shared by all hosts.

    Parameters
    ----------
    ratio : float
        Number of extra requests allowed for each first transmission of a request.
    slack : float
        Number of extra requests allowed in each window in addition to the ratio.
    window : timedelta
        Length of the sliding window.
    """

    ratio: float
    slack: float
    window: timedelta


@dataclass(frozen=True, slots=True)
class BudgetState:
    """How much a host may send again.

    Parameters
    ----------
    remaining_share : float
        Unused share of the allowance, 0 to 1.
    allowed_share : float
        Allowance for each request of the window.
    """

    remaining_share: float
    allowed_share: float


class ExtraLoadBudget:
    """Counts requests and extras of this host over a sliding window.

    Extras are the additional transmissions of hedges and retries. They are limited
    by the larger of the request counts of the current window and the preceding one,
    so that extras for the last requests of a busy period remain allowed.

    Parameters
    ----------
    settings : BudgetSettings
        Allowance of all hosts together.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, settings: BudgetSettings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self._bucket_seconds = settings.window.total_seconds() / _BUCKETS
        # [bucket number, requests, extras] in ascending order of the number.
        self._buckets: deque[list[int]] = deque()

    def count_request(self) -> None:
        """Count the first transmission of a request."""
        self._current_bucket()[1] += 1

    def allows_extra(self, hosts: int) -> bool:
        """Return whether one more extra is allowed.

        Parameters
        ----------
        hosts : int
            Number of hosts that share the slack.
        """
        allowed = self._allowed_extras(hosts)
        return self._extra_count() + 1 <= allowed

    def state(self, hosts: int) -> BudgetState:
        """Return how much this host may send again.

        Parameters
        ----------
        hosts : int
            Number of hosts that share the slack.
        """
        allowed = self._allowed_extras(hosts)
        remaining = max(0.0, 1.0 - self._extra_count() / allowed) if allowed else 0.0
        return BudgetState(remaining, allowed / max(1, self._request_count()))

    def take_extra(self, hosts: int) -> bool:
        """Count an extra if it is allowed; return whether it was."""
        if not self.allows_extra(hosts):
            return False
        self.count_extra()
        return True

    def count_extra(self) -> None:
        """Count an extra regardless of the allowance."""
        self._current_bucket()[2] += 1

    def _allowed_extras(self, hosts: int) -> float:
        self._current_bucket()
        allowed = RATIO_SAFETY_FACTOR * self.settings.ratio * self._request_count()
        return allowed + SLACK_SAFETY_FACTOR * self.settings.slack / max(1, hosts)

    def _request_count(self) -> int:
        number = self._buckets[-1][0]
        recent = sum([b[1] for b in self._buckets if b[0] > number - _BUCKETS])
        before = sum([b[1] for b in self._buckets if b[0] <= number - _BUCKETS])
        return max(recent, before)

    def _extra_count(self) -> int:
        number = self._buckets[-1][0]
        return sum([b[2] for b in self._buckets if b[0] > number - _BUCKETS])

    def _current_bucket(self) -> list[int]:
        number = int(self.clock.monotonic() / self._bucket_seconds)
        buckets = self._buckets
        if not buckets or buckets[-1][0] < number:
            buckets.append([number, 0, 0])
            while buckets[0][0] <= number - 2 * _BUCKETS:
                buckets.popleft()
        return buckets[-1]

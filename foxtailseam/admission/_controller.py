"""An adaptive limit for each family: additive increase, multiplicative decrease."""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock

DECREASE = 0.7
INCREASE = 1.0
LEAST_LIMIT = 2.0
BUSY_SHARE = 0.5
DECREASE_INTERVAL = timedelta(milliseconds=100)


@dataclass
class _Family:
    limit: float
    in_flight: int = 0
    decreased_at: float = float("-inf")


class AdmissionController:
    """Refuses a whole request early rather than parts of many late.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    queue_share : float
        Share of the deadline that a sub-request may wait for a slot, 0 to 1.
    """

    def __init__(self, clock: Clock, queue_share: float):
        self.clock = clock
        self.queue_share = queue_share
        self._families: defaultdict[str, _Family] = defaultdict(
            lambda: _Family(float("inf"))
        )

    def admit(self, family: str, limit: int) -> bool:
        """Count a request in, unless the limit in force is reached."""
        state = self._families[family]
        state.limit = min(state.limit, limit)
        if state.in_flight >= max(LEAST_LIMIT, state.limit):
            return False
        state.in_flight += 1
        return True

    def ended(
        self,
        family: str,
        limit: int,
        queue_delay: timedelta,
        deadline: timedelta,
        shed: bool,
    ) -> None:
        """Count a request out and adapt the limit.

        Parameters
        ----------
        family : str
            Service family.
        limit : int
            Limit that the rules set.
        queue_delay : timedelta
            Longest wait for a slot among the sub-requests.
        deadline : timedelta
            Deadline that the rules set.
        shed : bool
            Whether a sub-request was turned away for want of a slot.
        """
        state = self._families[family]
        state.in_flight -= 1
        if shed or queue_delay > self.queue_share * deadline:
            self._decrease(state)
        elif state.in_flight + 1 >= state.limit * BUSY_SHARE:
            state.limit = min(limit, state.limit + INCREASE / state.limit)

    def in_flight(self, family: str) -> int:
        """Return how many requests of `family` are in flight."""
        return self._families[family].in_flight

    def _decrease(self, state: _Family) -> None:
        current = self.clock.monotonic()
        if current - state.decreased_at < DECREASE_INTERVAL.total_seconds():
            return
        state.decreased_at = current
        # The limit falls from what is in use, not from an unused ceiling.
        in_use = min(state.limit, state.in_flight + 1)
        state.limit = max(LEAST_LIMIT, in_use * DECREASE)

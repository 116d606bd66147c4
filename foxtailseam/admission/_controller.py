"""An adaptive limit for each family: additive increase, multiplicative decrease."""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock

DECREASE = 0.7
INCREASE = 1.0
LEAST_LIMIT = 2.0
BUSY_SHARE = 0.5
WINDOW = timedelta(milliseconds=100)


@dataclass
class _Family:
    limit: float
    window_ends: float
    in_flight: int = 0
    least_delay: timedelta = timedelta.max
    ended: int = 0
    sheds: int = 0


class AdmissionController:
    """Refuses a whole request early rather than parts of many late.

    The limit falls when even the least delayed request of a window waited too
    long: a queue that stands, and not a burst that passes.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    queue_share : float
        Share of the deadline that a sub-request may wait for a slot, 0 to 1.
    least_limit : float
        Requests in flight that are admitted in any case.
    most_sheds : float
        Share of a window's requests that may be turned away, 0 to 1; with more
        the limit falls, however short the others waited.

    References
    ----------
    K. Nichols, V. Jacobson, "Controlling queue delay", Communications of the
    ACM 55(7), 2012.
    """

    def __init__(
        self,
        clock: Clock,
        queue_share: float,
        least_limit: float = LEAST_LIMIT,
        most_sheds: float = 1.0,
    ):
        self.clock = clock
        self.queue_share = queue_share
        self.least_limit = least_limit
        self.most_sheds = most_sheds
        self._families: defaultdict[str, _Family] = defaultdict(self._new_family)

    def admit(self, family: str, limit: int, share: float = 1.0) -> bool:
        """Count a request in, unless the limit in force is reached.

        Parameters
        ----------
        family : str
            Service family.
        limit : int
            Limit that the rules set.
        share : float
            Part of the limit in force that is open to this request, 0 to 1; the
            rest is kept for more urgent ones.
        """
        state = self._families[family]
        state.limit = min(state.limit, limit)
        if state.in_flight >= max(self.least_limit, state.limit) * share:
            return False
        state.in_flight += 1
        return True

    def release(
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
        state.ended += 1
        state.sheds += shed
        delay = deadline if shed else queue_delay
        state.least_delay = min(state.least_delay, delay)
        target = self.queue_share * deadline
        if delay <= target and state.in_flight + 1 >= state.limit * BUSY_SHARE:
            state.limit = min(limit, state.limit + INCREASE / state.limit)
        if self.clock.monotonic() >= state.window_ends:
            self._end_window(state, target)

    def _end_window(self, state: _Family, target: timedelta) -> None:
        is_shedding = state.sheds > self.most_sheds * state.ended
        if state.least_delay > target or is_shedding:
            # The limit falls from what is in use, not from an unused ceiling.
            in_use = min(state.limit, state.in_flight + 1)
            state.limit = max(self.least_limit, in_use * DECREASE)
        state.least_delay = timedelta.max
        state.ended = state.sheds = 0
        state.window_ends = self.clock.monotonic() + WINDOW.total_seconds()

    def _new_family(self) -> _Family:
        return _Family(float("inf"), self.clock.monotonic() + WINDOW.total_seconds())

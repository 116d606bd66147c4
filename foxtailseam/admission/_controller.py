"""Adaptive concurrency limits: additive increase, multiplicative decrease."""

from collections import defaultdict
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock

# Factor by which the limit falls at the end of an overloaded window.
DECREASE_FACTOR = 0.7
# Amount by which the limit rises for each limit's worth of completed requests.
INCREASE_STEP = 1.0
DEFAULT_MIN_LIMIT = 2.0
# The limit rises only while at least this share of it is in use.
BUSY_SHARE = 0.5
# Length of the windows over which delays and sheds are evaluated.
WINDOW = timedelta(milliseconds=100)


@dataclass
class _FamilyState:
    limit: float
    window_ends_at: float
    in_flight: int = 0
    min_delay: timedelta = timedelta.max
    completed: int = 0
    sheds: int = 0


class AdmissionController:
    """Limits the requests in flight for each service family.

    Under overload, whole requests are refused early instead of parts of many requests
    late. The limit of a family falls when even the least delayed request of a window
    waited too long, which indicates a standing queue and not a passing burst.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    queue_share : float
        Share of the deadline that a sub-request may wait for a slot, 0 to 1.
    min_limit : float
        Lower bound of the limit, in requests in flight.
    max_shed_share : float
        Share of the requests of a window that may be shed, 0 to 1. If more are shed,
        the limit falls however short the delays of the others are.

    References
    ----------
    K. Nichols, V. Jacobson, "Controlling queue delay", Communications of the
    ACM 55(7), 2012.
    """

    def __init__(
        self,
        clock: Clock,
        queue_share: float,
        min_limit: float = DEFAULT_MIN_LIMIT,
        max_shed_share: float = 1.0,
    ):
        self.clock = clock
        self.queue_share = queue_share
        self.min_limit = min_limit
        self.max_shed_share = max_shed_share
        self._families: defaultdict[str, _FamilyState] = defaultdict(self._new_state)

    def admit(self, family: str, limit: int, share: float = 1.0) -> bool:
        """Admit a request if the current limit allows it; return whether it did.

        Every admitted request must be released by `release`.

        Parameters
        ----------
        family : str
            Service family of the request, or another group with a limit of its own.
        limit : int
            Configured upper bound of the limit.
        share : float
            Share of the current limit that is available to this request, 0 to 1; the
            remainder is reserved for more urgent requests.
        """
        state = self._families[family]
        state.limit = min(state.limit, limit)
        if state.in_flight >= self.limit(family) * share:
            return False
        state.in_flight += 1
        return True

    def in_flight(self, family: str) -> int:
        """Return the number of admitted requests that are not released."""
        return self._families[family].in_flight

    def limit(self, family: str) -> float:
        """Return the current limit of a family, infinite if none was found yet."""
        return max(self.min_limit, self._families[family].limit)

    def release(
        self,
        family: str,
        limit: int,
        queue_delay: timedelta,
        deadline: timedelta,
        shed: bool,
    ) -> None:
        """Release an admitted request and adapt the limit of its family.

        Parameters
        ----------
        family : str
            Service family of the request, or another group with a limit of its own.
        limit : int
            Configured upper bound of the limit.
        queue_delay : timedelta
            Longest time that a sub-request waited for a slot, or an estimate of it.
        deadline : timedelta
            Configured deadline or latency goal of the request.
        shed : bool
            Whether a sub-request was rejected because no slot was free; its delay
            then counts as the whole deadline.
        """
        state = self._families[family]
        state.in_flight -= 1
        state.completed += 1
        state.sheds += shed
        delay = deadline if shed else queue_delay
        state.min_delay = min(state.min_delay, delay)
        target = self.queue_share * deadline
        if delay <= target and state.in_flight + 1 >= state.limit * BUSY_SHARE:
            state.limit = min(limit, state.limit + INCREASE_STEP / state.limit)
        if self.clock.monotonic() >= state.window_ends_at:
            self._end_window(state, target)

    def _end_window(self, state: _FamilyState, target: timedelta) -> None:
        is_shedding = state.sheds > self.max_shed_share * state.completed
        if state.min_delay > target or is_shedding:
            # Decrease from the concurrency in use: the limit may be far above it.
            in_use = min(state.limit, state.in_flight + 1)
            state.limit = max(self.min_limit, in_use * DECREASE_FACTOR)
        state.min_delay = timedelta.max
        state.completed = state.sheds = 0
        state.window_ends_at = self.clock.monotonic() + WINDOW.total_seconds()

    def _new_state(self) -> _FamilyState:
        return _FamilyState(
            float("inf"), self.clock.monotonic() + WINDOW.total_seconds()
        )

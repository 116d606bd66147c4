"""What queries to one service and to all shards have in common."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.dispatch._call import CallPlan
from foxtailseam.dispatch._dispatcher import Dispatcher, TimerHandle
from foxtailseam.dispatch._line import retry_after
from foxtailseam.dispatch._results import FailureReason

# After the answer, requests still out may end by themselves for this long; a
# searcher that is cut off costs a new connection. In seconds.
LINGER = 0.25
# New searchers need about as long to be known, in seconds.
SEARCHER_RETRY = 0.5


@dataclass(frozen=True, slots=True)
class QueryTimes:
    """When a query must end, in seconds of the dispatcher's clock.

    Parameters
    ----------
    started_at : float
        When the request arrived.
    goal_at : float
        When the answer must leave to be within the latency goal.
    goal_limit_at : float
        Until when it may leave and still be within the goal, with luck.
    late_answer_at : float
        When an answer that missed the goal waits no longer to be complete.
    deadline_at : float
        When the last answer must leave.
    """

    started_at: float
    goal_at: float
    goal_limit_at: float
    late_answer_at: float
    deadline_at: float


@dataclass(frozen=True, slots=True)
class NotAnswered:
    """No answer.

    Parameters
    ----------
    reason : FailureReason
        Why.
    may_have_run : bool
        False only if no searcher ran the request, nor ever will.
    retry_after : timedelta or None
        When to come back; None if nothing is known of that.
    """

    reason: FailureReason
    may_have_run: bool
    retry_after: timedelta | None = None


class Query:
    """A caller's request on its way through searchers.

    Parameters
    ----------
    dispatcher : Dispatcher
        The searchers.
    times : QueryTimes
        When to answer.
    """

    def __init__(self, dispatcher: Dispatcher, times: QueryTimes):
        self.dispatcher = dispatcher
        self.times = times
        self.hedges = 0
        self.late_shards = ""
        self._timers: list[TimerHandle] = []

    def _now(self) -> float:
        return self.dispatcher.clock.monotonic()

    def _at(self, when: float, callback: Callable[[], None]) -> None:
        delay = max(0.0, when - self._now())
        self._timers.append(self.dispatcher.timers.call_later(delay, callback))

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def _refusal(self, plans: tuple[CallPlan, ...], least: int) -> NotAnswered | None:
        """Return a refusal if fewer than `least` plans can be served in time."""
        dispatcher = self.dispatcher
        waits = sorted(
            dispatcher.expected_wait(plan.service, plan.route, plan.deadline_at)
            for plan in plans
            if dispatcher.usable(plan.service)
        )
        if len(waits) < least:
            reason, wait = FailureReason.NO_SEARCHER, SEARCHER_RETRY
        else:
            reason, wait = FailureReason.SHED, waits[least - 1]
            if wait < self.times.deadline_at - self._now():
                return None
        return NotAnswered(reason, False, timedelta(seconds=retry_after(wait)))

"""Base class and values common to single-service and all-shard queries."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import TimerHandle
from foxtailseam.dispatch._attempts import CallPlan
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._results import FailureReason
from foxtailseam.dispatch._wait_queue import (
    MAX_KNOWN_RETRY_AFTER,
    clamp_retry_after,
)

# Time in seconds after the answer during which requests in flight may still complete:
# cancelling them closes connections, which then have to be reopened.
GRACE_SECONDS = 0.25
# Retry delay in seconds when a service has no searcher. A new searcher takes about as
# long to become known.
NO_SEARCHER_RETRY_AFTER = 0.5


@dataclass(frozen=True, slots=True)
class QueryTimes:
    """Times that govern a query, in seconds of the dispatcher's clock.

    Parameters
    ----------
    started_at : float
        Time at which the request arrived.
    goal_at : float
        Time at which the answer should be sent to meet the latency goal.
    goal_limit_at : float
        Last time at which an answer can still meet the latency goal.
    late_answer_at : float
        Time at which a query that missed the goal stops waiting for more shards.
    deadline_at : float
        Last time at which an answer may be sent.
    """

    started_at: float
    goal_at: float
    goal_limit_at: float
    late_answer_at: float
    deadline_at: float


@dataclass(frozen=True, slots=True)
class NotAnswered:
    """Result of a query that failed or was refused.

    Parameters
    ----------
    reason : FailureReason
        Reason of the failure.
    may_have_run : bool
        False only if it is certain that no searcher has run or will run the
        request.
    retry_after : timedelta or None
        Time after which the caller should retry; None if unknown.
    """

    reason: FailureReason
    may_have_run: bool
    retry_after: timedelta | None = None


class Query:
    """Base class of the queries that serve a caller's request.

    Parameters
    ----------
    dispatcher : Dispatcher
        Shared state of the host's requests.
    times : QueryTimes
        Times at which the query must be answered.

    Attributes
    ----------
    hedges : int
        Number of hedges sent.
    late_shards : str
        Attempts at the shards that were pending when the goal passed, for the request
        log; empty if the query was answered by then.
    """

    def __init__(self, dispatcher: Dispatcher, times: QueryTimes):
        self.dispatcher = dispatcher
        self.times = times
        self.hedges = 0
        self.late_shards = ""
        self._timers: list[TimerHandle] = []

    def _now(self) -> float:
        return self.dispatcher.clock.monotonic()

    def _call_at(self, when: float, callback: Callable[[], None]) -> None:
        delay = max(0.0, when - self._now())
        self._timers.append(self.dispatcher.timers.call_later(delay, callback))

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def _refusal(
        self, plans: tuple[CallPlan, ...], required: int
    ) -> NotAnswered | None:
        """Return a refusal if fewer than `required` plans can be served in time."""
        dispatcher = self.dispatcher
        waits = sorted(
            dispatcher.expected_wait(plan.service, plan.route, plan.deadline_at)
            for plan in plans
            if dispatcher.open_searchers(plan.service)
        )
        if len(waits) < required:
            return self._refusal_without_searchers(plans, required - len(waits))
        wait = waits[required - 1]
        if wait < self.times.deadline_at - self._now():
            return None
        return _refused(FailureReason.SHED, clamp_retry_after(wait))

    def _refusal_without_searchers(
        self, plans: tuple[CallPlan, ...], lacking: int
    ) -> NotAnswered:
        """Return the refusal of a query for which too few plans have a searcher.

        Parameters
        ----------
        plans : tuple of CallPlan
            All plans of the query.
        lacking : int
            Number of plans that need a searcher.
        """
        dispatcher = self.dispatcher
        closed = sorted(
            (dispatcher.closed_wait(plan.service), plan.service)
            for plan in plans
            if not dispatcher.open_searchers(plan.service)
        )
        wait, service = closed[lacking - 1]
        if wait == math.inf:
            return _refused(FailureReason.NO_SEARCHER, NO_SEARCHER_RETRY_AFTER)
        return _refused(
            dispatcher.closed_reason(service),
            clamp_retry_after(wait, MAX_KNOWN_RETRY_AFTER),
        )


def _refused(reason: FailureReason, retry_after: float) -> NotAnswered:
    return NotAnswered(reason, False, timedelta(seconds=retry_after))

"""A request to one searcher of one service."""

from collections.abc import Callable
from datetime import timedelta

from foxtailseam.dispatch._call import CallPlan, ServiceCall
from foxtailseam.dispatch._dispatcher import Dispatcher, TimerHandle
from foxtailseam.dispatch._gather import LINGER, NotAnswered, QueryTimes
from foxtailseam.dispatch._hedging import HedgeInputs, hedge_delay
from foxtailseam.dispatch._line import retry_after
from foxtailseam.dispatch._results import (
    FailureReason,
    ServiceAnswer,
    ServiceFailure,
    ServiceResult,
)

SingleResult = ServiceAnswer | ServiceFailure | NotAnswered


class SingleQuery:
    """Asks one searcher, and others after failures if that is allowed.

    Parameters
    ----------
    dispatcher : Dispatcher
        The searchers.
    plan : CallPlan
        The call.
    times : QueryTimes
        When to answer.
    on_result : callable
        Gets the `SingleResult`, once, unless the query is cancelled before.
    is_suspect : bool
        Whether the request may crash searchers, so that one loss ends it.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        plan: CallPlan,
        times: QueryTimes,
        on_result: Callable[[SingleResult], None],
        is_suspect: bool = False,
    ):
        self.dispatcher = dispatcher
        self.plan = plan
        self.times = times
        self.on_result = on_result
        self.hedges = 0
        self.late_shards = ""
        self.is_suspect = is_suspect
        self._call = ServiceCall(
            dispatcher, plan, self._on_call, lambda: not is_suspect
        )
        self._call.on_held = self._call.give_up
        self._timers: list[TimerHandle] = []

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have begun to run the request."""
        return self._call.may_have_run

    def start(self) -> None:
        """Send, or refuse at once if no searcher has room in time."""
        refusal = self._refusal()
        if refusal is not None:
            self.on_result(refusal)
            return
        now = self.dispatcher.clock.monotonic()
        if self.plan.route.idempotent and not self.is_suspect:
            self._at(now + self._hedge_delay(now), self._hedge)
        self._at(self.times.deadline_at, self._call.expire)
        self._call.start()

    def cancel(self) -> None:
        """Give up: the caller has left."""
        self._end()
        self._call.cancel()

    def describe(self) -> str:
        """Return what was tried."""
        return self._call.record.describe()

    def _refusal(self) -> NotAnswered | None:
        dispatcher = self.dispatcher
        plan = self.plan
        if not dispatcher.usable(plan.service):
            return NotAnswered(
                FailureReason.NO_SEARCHER, False, timedelta(seconds=retry_after(0.5))
            )
        wait = dispatcher.expected_wait(plan.service, plan.route, plan.deadline_at)
        if wait >= self.times.deadline_at - dispatcher.clock.monotonic():
            return NotAnswered(
                FailureReason.SHED, False, timedelta(seconds=retry_after(wait))
            )
        return None

    def _hedge_delay(self, now: float) -> float:
        dispatcher = self.dispatcher
        plan = self.plan
        return hedge_delay(
            HedgeInputs(
                self.times.goal_at - now,
                dispatcher.response_times(plan.route),
                dispatcher.budget(plan.service).left(dispatcher.hosts),
            )
        )

    def _hedge(self) -> None:
        if self._call.hedge():
            self.hedges += 1

    def _at(self, when: float, callback: Callable[[], None]) -> None:
        delay = max(0.0, when - self.dispatcher.clock.monotonic())
        self._timers.append(self.dispatcher.timers.call_later(delay, callback))

    def _on_call(self, call: ServiceCall, result: ServiceResult) -> None:
        self._end()
        if call.is_running:
            self.dispatcher.timers.call_later(LINGER, call.cancel)
        self.on_result(result)

    def _end(self) -> None:
        for timer in self._timers:
            timer.cancel()

"""A request to one searcher of one service."""

from collections.abc import Callable

from foxtailseam.dispatch._call import CallPlan, ServiceCall
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._query import LINGER, NotAnswered, Query, QueryTimes
from foxtailseam.dispatch._results import ServiceAnswer, ServiceFailure, ServiceResult

SingleResult = ServiceAnswer | ServiceFailure | NotAnswered


class SingleQuery(Query):
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
        super().__init__(dispatcher, times)
        self.plan = plan
        self.on_result = on_result
        self.is_suspect = is_suspect
        self._call = ServiceCall(
            dispatcher, plan, self._on_call, lambda: not is_suspect
        )
        self._call.on_held = self._call.give_up

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have begun to run the request."""
        return self._call.may_have_run

    def start(self) -> None:
        """Send, or refuse at once if no searcher has room in time."""
        refusal = self._refusal((self.plan,), 1)
        if refusal is not None:
            self.on_result(refusal)
            return
        self._at(self.times.deadline_at, self._call.expire)
        self._call.start()
        if self.plan.route.idempotent and not self.is_suspect:
            self._at(self._call.hedge_at(self.times.goal_at), self._hedge)

    def cancel(self) -> None:
        """Give up: the caller has left."""
        self._cancel_timers()
        self._call.cancel()

    def describe(self) -> str:
        """Return what was tried."""
        return self._call.record.describe()

    def _hedge(self) -> None:
        if self._call.hedge(self.times.deadline_at):
            self.hedges += 1

    def _on_call(self, call: ServiceCall, result: ServiceResult) -> None:
        self._cancel_timers()
        if call.is_running:
            self.dispatcher.timers.call_later(LINGER, call.cancel)
        self.on_result(result)

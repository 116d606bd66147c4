"""A request that is answered by a single service."""

from collections.abc import Callable

from foxtailseam.dispatch._attempts import CallPlan
from foxtailseam.dispatch._call import ServiceCall
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._query import GRACE_SECONDS, NotAnswered, Query, QueryTimes
from foxtailseam.dispatch._results import ServiceAnswer, ServiceFailure, ServiceResult
from foxtailseam.reachability import MIN_SILENCE_SECONDS

SingleResult = ServiceAnswer | ServiceFailure | NotAnswered


class SingleQuery(Query):
    """Query to one service, with hedges and retries where these are allowed.

    Parameters
    ----------
    dispatcher : Dispatcher
        Shared state of the host's requests.
    plan : CallPlan
        Request to send.
    times : QueryTimes
        Times at which the query must be answered.
    on_result : callable
        Called once with the `SingleResult`, unless the query is cancelled first.
    is_suspect : bool
        Whether the request is suspected of crashing searchers; it is then neither
        hedged nor retried after the loss of a searcher.
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
        self._is_over = False
        self._call = ServiceCall(
            dispatcher,
            plan,
            self._now(),
            self._on_call_result,
            lambda: not is_suspect,
        )
        self._call.on_held = self._call.give_up

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have started to run the request."""
        return self._call.may_have_run

    @property
    def attempts_run(self) -> int:
        """Return the number of searchers that may have started to run the request."""
        return self._call.attempts_run

    def needs_other_host(self, is_isolated: bool) -> bool:
        """Return whether the request cannot be served over the links that are left.

        Parameters
        ----------
        is_isolated : bool
            Whether open connections do not work either.
        """
        return is_isolated or not self._call.may_have_run

    def start(self) -> None:
        """Send the request, or refuse it if no searcher can run it in time."""
        refusal = self._refusal((self.plan,), 1)
        if refusal is not None:
            self.on_result(refusal)
            return
        self._call_at(self.times.deadline_at, self._call.expire)
        self._call.start()
        self._watch_silence()
        if self.plan.route.idempotent and not self.is_suspect:
            self._call_at(self._call.hedge_at(self.times.goal_at), self._hedge)

    def cancel(self) -> None:
        """Cancel the query because its caller disconnected; no result is reported."""
        self._is_over = True
        self._cancel_timers()
        self._call.cancel()

    def describe(self) -> str:
        """Return the attempts as text for the request log."""
        return self._call.record.describe()

    def _watch_silence(self) -> None:
        """Report an overdue searcher now and then until the query ends."""
        now = self._now()
        self._call.record_silence(now)
        interval = max(MIN_SILENCE_SECONDS, self._call.min_hedge_delay())
        if now + interval < self.times.deadline_at and not self._is_over:
            self._call_at(now + interval, self._watch_silence)

    def _hedge(self) -> None:
        if self._call.hedge(self.times.deadline_at):
            self.hedges += 1

    def _on_call_result(self, call: ServiceCall, result: ServiceResult) -> None:
        self._is_over = True
        self._cancel_timers()
        if call.is_running:
            self.dispatcher.timers.call_later(GRACE_SECONDS, call.cancel)
        self.on_result(result)

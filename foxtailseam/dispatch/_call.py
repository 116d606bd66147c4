"""One request to one service: searchers are tried until one answers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._format import RequestTemplate
from foxtailseam.dispatch._health import Failure
from foxtailseam.dispatch._hedging import HedgeInputs, hedge_delay, least_hedge_delay
from foxtailseam.dispatch._latency import ResponseTimes
from foxtailseam.dispatch._line import Place
from foxtailseam.dispatch._placement import Prospect
from foxtailseam.dispatch._results import (
    FailureReason,
    ServiceAnswer,
    ServiceFailure,
    ServiceResult,
)
from foxtailseam.dispatch._searcher import PendingExchange, Searcher
from foxtailseam.http import (
    ExchangeFailure,
    ExchangeResult,
    FailureKind,
    HttpRequest,
    HttpResponse,
    Received,
)
from foxtailseam.routing import Route

# Nothing is sent that leaves a searcher less time than this, in seconds.
LEAST_TIME = 0.005
# A searcher that is expected to take longer than so many times the time left is
# not asked as the second one: it would only be loaded.
HEDGE_LUCK = 2.5
# Turned away more often than this, a request is not sent again.
MOST_REJECTIONS = 3
# An attempt that is given up counts as silence after so many typical times.
SILENCE_FACTOR = 4.0
FIRST_SERVER_ERROR = 500

_POSSIBLE_CRASHES = frozenset({FailureKind.RESET, FailureKind.CLOSED})
_FAILURES = {
    FailureKind.REFUSED: Failure.UNREACHABLE,
    FailureKind.CONNECT_TIMEOUT: Failure.UNREACHABLE,
    FailureKind.TIMEOUT: Failure.SILENT,
    FailureKind.RESET: Failure.LOST,
    FailureKind.CLOSED: Failure.LOST,
    FailureKind.MALFORMED: Failure.ERROR,
    FailureKind.TOO_LARGE: Failure.ERROR,
    FailureKind.CANCELLED: Failure.LOST,
}


@dataclass(frozen=True, slots=True)
class CallPlan:
    """What is sent to a service, and for how long.

    Parameters
    ----------
    service : str
        Where to.
    route : Route
        Rules of the request.
    request : HttpRequest
        The caller's request.
    template : RequestTemplate
        Its bytes for searchers.
    identifier : bytes
        Identifier of the request; searchers repeat it.
    deadline_at : float
        When the answer is of no use any more, on the dispatcher's clock.
    """

    service: str
    route: Route
    request: HttpRequest
    template: RequestTemplate
    identifier: bytes
    deadline_at: float


@dataclass(slots=True)
class Attempt:
    """One sending to one searcher.

    Parameters
    ----------
    searcher : Searcher
        Where to.
    number : int
        Number of the request at the searcher.
    sent_at : float
        When, on the dispatcher's clock.
    exchange : PendingExchange or None
        The request on its way; None before it has begun.
    outcome : str
        What came of it; empty while it runs.
    """

    searcher: Searcher
    number: int
    sent_at: float
    exchange: PendingExchange | None = None
    outcome: str = ""


@dataclass(slots=True)
class CallRecord:
    """What a call did, for the log line of its request."""

    started_at: float
    attempts: list[Attempt] = field(default_factory=list)

    def describe(self) -> str:
        """Return each attempt as ``searcher@MILLISECONDS:outcome``."""
        return ",".join(
            f"{item.searcher.entry.identifier}"
            f"@{round((item.sent_at - self.started_at) * 1000)}"
            f":{item.outcome or 'pending'}"
            for item in self.attempts
        )


class ServiceCall:
    """Sends a request to one searcher of a service, or to more if need be.

    Parameters
    ----------
    dispatcher : Dispatcher
        The searchers.
    plan : CallPlan
        What is sent.
    on_result : callable
        Gets the `ServiceResult`, once, unless the call is cancelled before.
    may_repeat : callable
        Returns whether a request that lost a searcher may be sent to another;
        until then the call is held.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        plan: CallPlan,
        on_result: Callable[["ServiceCall", ServiceResult], None],
        may_repeat: Callable[[], bool] = lambda: True,
    ):
        self.dispatcher = dispatcher
        self.plan = plan
        self.on_result = on_result
        self.may_repeat = may_repeat
        self.on_held: Callable[[], None] = lambda: None
        self.record = CallRecord(dispatcher.clock.monotonic())
        self._times: ResponseTimes = dispatcher.response_times(plan.route)
        self._running: dict[int, Attempt] = {}
        self._tried: set[str] = set()
        self._place: Place | None = None
        self._is_over = False
        self._is_held = False
        self._counted = False
        self._ran = 0
        self._rejections = 0
        self._reason = FailureReason.NO_SEARCHER
        self._failure_response: HttpResponse | None = None

    @property
    def is_running(self) -> bool:
        """Return whether an attempt is on its way."""
        return bool(self._running)

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have begun to run the request."""
        return self._ran > 0 or any(
            attempt.exchange is not None and attempt.exchange.is_sent
            for attempt in self._running.values()
        )

    def prospect(self) -> tuple[Prospect, Searcher | None]:
        """Return what may be expected of the service, and its best searcher."""
        return self.dispatcher.prospect(self.plan.service, self._times.median)

    def start(self, searcher: Searcher | None = None) -> None:
        """Send to the best searcher, or wait for room.

        Parameters
        ----------
        searcher : Searcher or None
            The best one where that has just been found out.
        """
        if searcher is not None:
            self._send(searcher)
        else:
            self._send_or_wait()

    def hedge_at(self, goal_at: float) -> float:
        """Return when a second searcher should be asked.

        Parameters
        ----------
        goal_at : float
            When the answer must leave, on the dispatcher's clock.
        """
        attempts = self.record.attempts
        sent_at = attempts[-1].sent_at if attempts else self.record.started_at
        budget = self.dispatcher.budget(self.plan.service)
        left = budget.left(self.dispatcher.hosts)
        return sent_at + hedge_delay(HedgeInputs(goal_at - sent_at, self._times, left))

    def least_hedge_delay(self) -> float:
        """Return the seconds before which no second searcher is asked."""
        return least_hedge_delay(self._times)

    def hedge(self, useful_until: float) -> bool:
        """Ask a second searcher while the first is silent; return whether it is done.

        Only for requests that may run more than once.

        Parameters
        ----------
        useful_until : float
            After this an answer is of little use, on the dispatcher's clock.
        """
        if self._is_over or not self._running or not self._may_send_again():
            return False
        searcher = self.dispatcher.choose(
            self.plan.service, self._times.median, self._tried
        )
        if searcher is None or searcher.health.is_ejected:
            return False
        expected = searcher.health.slowness * self._times.median
        if expected > HEDGE_LUCK * (useful_until - self.dispatcher.clock.monotonic()):
            return False
        if not self._take_extra():
            return False
        self.dispatcher.metrics.add("hedges_sent")
        self._send(searcher)
        return True

    def cancel(self) -> None:
        """Give up every attempt; searchers see their connections close."""
        self._is_over = True
        if self._place is not None:
            self._place.leave()
        for attempt in list(self._running.values()):
            self._abandon(attempt)

    @property
    def is_held(self) -> bool:
        """Return whether the call waits for `resume` after it lost a searcher."""
        return self._is_held

    def resume(self) -> None:
        """Send again after a loss, if that is allowed now."""
        if self._is_held and not self._is_over:
            self._is_held = False
            self._on_failure(is_free=False)

    def give_up(self) -> None:
        """End with the failure that came last."""
        self._fail()

    def expire(self) -> None:
        """End with a failure since the time is up."""
        self._reason = FailureReason.DEADLINE
        self._fail()

    def _send_or_wait(self) -> None:
        dispatcher = self.dispatcher
        plan = self.plan
        searcher = dispatcher.choose(plan.service, self._times.median, self._tried)
        if searcher is not None:
            self._send(searcher)
            return
        if not self._untried():
            self._fail()
            return
        self._place = dispatcher.line(plan.service).join(
            plan.route.priority, plan.deadline_at, self._on_turn
        )

    def _on_turn(self) -> None:
        self._place = None
        if not self._is_over:
            self._send_or_wait()

    def _send(self, searcher: Searcher) -> None:
        plan = self.plan
        dispatcher = self.dispatcher
        if self._time_left() < LEAST_TIME:
            self._reason = FailureReason.DEADLINE
            self._fail()
            return
        if not self._counted:
            self._counted = True
            dispatcher.budget(plan.service).count_request()
        identifier = searcher.entry.identifier
        self._tried.add(identifier)
        attempt = Attempt(
            searcher, searcher.begin(self._times.median), dispatcher.clock.monotonic()
        )
        self._running[id(attempt)] = attempt
        self.record.attempts.append(attempt)
        attempt.exchange = searcher.link.send(
            lambda: plan.template.render(self._time_left(), identifier),
            plan.identifier,
            plan.request.method == b"HEAD",
            lambda result: self._on_exchange(attempt, result),
        )

    def _on_exchange(self, attempt: Attempt, result: ExchangeResult) -> None:
        del self._running[id(attempt)]
        seconds = attempt.searcher.end(attempt.number)
        match result:
            case Received(response=response):
                self._on_response(attempt, seconds, response)
            case ExchangeFailure(kind=kind, sent=sent):
                attempt.outcome = kind
                self._health_failed(attempt, _FAILURES[kind])
                self._ran += sent
                self._reason = FailureReason.LOST if sent else self._reason
                if sent and kind in _POSSIBLE_CRASHES:
                    self.dispatcher.lost(attempt.searcher, self.plan.request)
                    self._is_held = not self._is_over and not self.may_repeat()
                if self._is_held:
                    self.on_held()
                else:
                    self._on_failure(is_free=not sent)
        self.dispatcher.room_made(self.plan.service)

    def _on_response(
        self, attempt: Attempt, seconds: float, response: HttpResponse
    ) -> None:
        marks = self.dispatcher.read_answer(response.status, response.headers)
        attempt.outcome = str(response.status)
        if marks.not_run:
            self._rejections += 1
            failure = Failure.MISDIRECTED if marks.is_other_searcher else Failure.SHED
            self._health_failed(attempt, failure)
            self._reason = FailureReason.SHED
            self._on_failure(is_free=False)
            return
        self._ran += 1
        if response.status >= FIRST_SERVER_ERROR:
            self._health_failed(attempt, Failure.ERROR)
            self._reason = FailureReason.ERROR
            self._failure_response = response
            self._on_failure(is_free=False)
            return
        typical = self._times.median if self._times.is_known else None
        attempt.searcher.health.answered(seconds, typical)
        self._times.record(seconds)
        if not self._is_over:
            self._is_over = True
            answer = ServiceAnswer(
                attempt.searcher.entry.identifier, marks.stamp, response
            )
            self.on_result(self, answer)

    def _on_failure(self, is_free: bool) -> None:
        """Try another searcher, or end.

        Parameters
        ----------
        is_free : bool
            Whether nothing reached the searcher, so that another is no extra load.
        """
        if self._is_over or self._running:
            return
        can_repeat = self.plan.route.idempotent or not self._ran
        if not can_repeat or not self._may_send_again() or not self._untried():
            self._fail()
            return
        if not is_free and not self._take_extra():
            self._reason = FailureReason.BUDGET
            self._fail()
            return
        self.dispatcher.metrics.add("retries_sent")
        self._send_or_wait()

    def _may_send_again(self) -> bool:
        in_flight = len(self._running)
        return (
            self._ran + in_flight < self.plan.route.max_attempts
            and self._rejections < MOST_REJECTIONS
            and self._time_left() >= LEAST_TIME
        )

    def _take_extra(self) -> bool:
        budget = self.dispatcher.budget(self.plan.service)
        if budget.take(self.dispatcher.hosts):
            return True
        self.dispatcher.metrics.add("extras_denied")
        return False

    def _untried(self) -> bool:
        return any(
            searcher.entry.identifier not in self._tried
            for searcher in self.dispatcher.usable(self.plan.service)
        )

    def _time_left(self) -> float:
        return self.plan.deadline_at - self.dispatcher.clock.monotonic()

    def _health_failed(self, attempt: Attempt, failure: Failure) -> None:
        if attempt.searcher.health.failed(failure):
            self.dispatcher.on_ejected(attempt.searcher)

    def _abandon(self, attempt: Attempt) -> None:
        del self._running[id(attempt)]
        seconds = attempt.searcher.end(attempt.number)
        attempt.outcome = "abandoned"
        if seconds > SILENCE_FACTOR * self._times.quantile(0.9):
            self._health_failed(attempt, Failure.SILENT)
        attempt.exchange.cancel()
        self.dispatcher.room_made(self.plan.service)

    def _fail(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._place is not None:
            self._place.leave()
        failure = ServiceFailure(
            self._reason, self.may_have_run, self._failure_response
        )
        self.on_result(self, failure)

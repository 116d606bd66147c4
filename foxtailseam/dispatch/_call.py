"""Request to one service, sent to one searcher after another until one answers."""

from collections.abc import Callable
from datetime import timedelta

from foxtailseam.dispatch._attempt_results import (
    ATTEMPT_FAILURES,
    POSSIBLE_CRASHES,
    record_failed_contact,
)
from foxtailseam.dispatch._attempt_sender import MIN_REMAINING_TIME, AttemptSender
from foxtailseam.dispatch._attempts import Attempt, CallPlan
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._health import AttemptFailure
from foxtailseam.dispatch._hedging import HedgeInputs, hedge_delay, min_hedge_delay
from foxtailseam.dispatch._results import (
    NOT_RUN_STATUSES,
    FailureReason,
    ServiceAnswer,
    ServiceFailure,
    ServiceResult,
)
from foxtailseam.dispatch._searcher import Searcher
from foxtailseam.dispatch._shard_selection import ShardEstimate
from foxtailseam.dispatch._wait_queue import (
    MAX_KNOWN_RETRY_AFTER,
    WaitEntry,
    clamp_retry_after,
)
from foxtailseam.http import (
    ExchangeFailure,
    ExchangeResult,
    HttpResponse,
    Received,
)

# A hedge is not sent to a searcher whose expected response time exceeds the useful
# time by more than this factor: it would only add load.
MAX_HEDGE_OVERRUN = 2.5
# A request rejected this many times by searchers is not sent again.
MAX_REJECTIONS = 3
FIRST_SERVER_ERROR = 500

# Reasons of a call that no searcher has run.
_REJECTED = frozenset({FailureReason.NO_SEARCHER, FailureReason.SHED})
# Reasons of a call for which the searchers have said when they take requests again.
_CLOSED = frozenset({FailureReason.RATE_LIMITED, FailureReason.PAUSED})


def _allow() -> bool:
    return True


def _ignore() -> None:
    pass


def _ignore_result(_call: "ServiceCall", _result: ServiceResult) -> None:
    pass


class ServiceCall(AttemptSender):
    """Call to one service: the first attempt with its hedges and retries.

    Parameters
    ----------
    dispatcher : Dispatcher
        Shared state of the host's requests.
    plan : CallPlan
        Request to send.
    created_at : float
        Current time, in seconds of the dispatcher's clock.
    on_result : callable
        Called once with the call and its `ServiceResult`, unless the call is
        cancelled first.
    may_repeat : callable
        Returns whether a request that may have crashed a searcher may be sent to
        another one. If not, the call is held until `resume` is called.
    """

    __slots__ = (
        "_failure_reason",
        "_failure_response",
        "_is_held",
        "_is_over",
        "_rejections",
        "_wait_entry",
        "max_attempts",
        "may_repeat",
        "on_held",
        "on_result",
        "was_denied",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        plan: CallPlan,
        created_at: float,
        on_result: Callable[["ServiceCall", ServiceResult], None],
        may_repeat: Callable[[], bool] = _allow,
    ):
        super().__init__(dispatcher, plan, created_at)
        self.on_result = on_result
        self.may_repeat = may_repeat
        # Largest number of searchers that the request may be sent to.
        self.max_attempts = plan.route.max_attempts
        # Called when the call is held.
        self.on_held: Callable[[], None] = _ignore
        # Whether the budget denied a hedge or a retry.
        self.was_denied = False
        self._wait_entry: WaitEntry | None = None
        self._is_over = False
        self._is_held = False
        self._rejections = 0
        self._failure_reason = FailureReason.NO_SEARCHER
        self._failure_response: HttpResponse | None = None

    def estimate(self, now: float) -> tuple[ShardEstimate, Searcher | None]:
        """Return the estimate for the service and its best searcher, if any.

        Parameters
        ----------
        now : float
            Current time, in seconds of the dispatcher's clock.
        """
        median_time = self._response_times.median
        return self.dispatcher.estimate(self.plan.service, median_time, now)

    def start(self, searcher: Searcher | None = None) -> None:
        """Send the request to the best searcher, or queue it until one has capacity.

        Parameters
        ----------
        searcher : Searcher or None
            Best searcher if the caller has just determined it.
        """
        if searcher is not None:
            self._send(searcher)
        else:
            self._send_or_wait()

    def hedge_at(self, goal_at: float) -> float:
        """Return when to send a hedge, in seconds of the dispatcher's clock.

        Parameters
        ----------
        goal_at : float
            Time at which the answer should be sent to meet the latency goal, in
            seconds of the same clock.
        """
        sent_at = self.last_sent_at
        budget = self.dispatcher.budget(self.plan.service)
        state = budget.state(self.dispatcher.hosts)
        return sent_at + hedge_delay(
            HedgeInputs(
                goal_at - sent_at,
                self._response_times,
                state.remaining_share,
                state.allowed_share,
            )
        )

    def min_hedge_delay(self) -> float:
        """Return the shortest delay before a hedge, in seconds."""
        return min_hedge_delay(self._response_times)

    def hedge(self, useful_until: float) -> bool:
        """Send the request to another searcher too; return whether it was sent.

        Only valid for idempotent requests.

        Parameters
        ----------
        useful_until : float
            Time after which an answer is of little use, in seconds of the
            dispatcher's clock.
        """
        if self._is_over or not self._running or not self._may_send_again():
            return False
        if not self.dispatcher.allows_hedges(self.plan.route):
            return False
        searcher = self.dispatcher.choose_searcher(
            self.plan.service, self._response_times.median, self._tried
        )
        if searcher is None or searcher.health.is_ejected:
            return False
        if not self._may_hedge_at(searcher):
            return False
        slowness = searcher.slowness_at(self.dispatcher.clock.monotonic())
        expected = slowness * self._response_times.median
        if expected > MAX_HEDGE_OVERRUN * (
            useful_until - self.dispatcher.clock.monotonic()
        ):
            return False
        if not self._take_extra():
            return False
        self.dispatcher.metrics.add("hedges_sent")
        self._send(searcher)
        return True

    def _may_hedge_at(self, searcher: Searcher) -> bool:
        now = self.dispatcher.clock.monotonic()
        return self.dispatcher.locality.may_hedge(
            self.plan.service,
            searcher.entry.failure_domain,
            any(item.searcher.is_stalled(now) for item in self._running.values()),
        )

    def cancel(self) -> None:
        """Cancel the call and close the connections of its attempts in progress."""
        self._end()
        for attempt in list(self._running.values()):
            self._abandon(attempt)
        self._release_callbacks()

    def close(self) -> None:
        """End the call without a result; what was sent may still be answered."""
        self._end()
        self._release_callbacks()

    @property
    def is_held(self) -> bool:
        """Return whether the call waits for `resume` after the loss of a searcher."""
        return self._is_held

    def resume(self) -> None:
        """Retry a held call, within the limits that apply to any retry."""
        if self._is_held and not self._is_over:
            self._is_held = False
            self._on_failure(is_unsent=False)

    def give_up(self) -> None:
        """End the call with the most recent failure."""
        self._fail()

    def expire(self) -> None:
        """End the call because its deadline passed."""
        self._failure_reason = FailureReason.DEADLINE
        self._fail()

    def _send_or_wait(self) -> None:
        dispatcher = self.dispatcher
        plan = self.plan
        searcher = dispatcher.choose_searcher(
            plan.service, self._response_times.median, self._tried
        )
        if searcher is not None:
            self._send(searcher)
            return
        if not self._has_untried_searcher():
            self._fail_without_searcher()
            return
        self._wait_entry = dispatcher.waiting.add(
            plan.service, plan.route.priority, plan.deadline_at, self._on_admitted
        )

    def _on_admitted(self) -> None:
        self._wait_entry = None
        if not self._is_over:
            self._send_or_wait()

    def _on_exchange(self, attempt: Attempt, result: ExchangeResult) -> None:
        del self._running[id(attempt)]
        now = self.dispatcher.clock.monotonic()
        seconds = attempt.searcher.end_request(attempt.number, now)
        attempt.ended_at = now
        try:
            match result:
                case Received(response=response):
                    self.dispatcher.contacts.record_response(now)
                    self.dispatcher.traffic.add_answer(
                        attempt.searcher, len(response.body), self._is_over
                    )
                    self._on_response(attempt, seconds, response, now)
                case ExchangeFailure():
                    self._on_exchange_failure(attempt, result, now)
        except Exception:
            self._on_unforeseen_error()
            raise
        finally:
            self._release_callbacks()
            self.dispatcher.waiting.admit(self.plan.service)

    def _on_exchange_failure(
        self, attempt: Attempt, failure: ExchangeFailure, now: float
    ) -> None:
        kind, sent = failure.kind, failure.sent
        contacts = self.dispatcher.contacts
        record_failed_contact(contacts, attempt.searcher.identifier, kind, now)
        attempt.outcome = kind
        self._record_failure(attempt, ATTEMPT_FAILURES[kind])
        self._run_count += sent
        if sent:
            self._failure_reason = FailureReason.LOST
        if sent and kind in POSSIBLE_CRASHES:
            self.dispatcher.check_crash(attempt.searcher, self.plan.request)
            self._is_held = not self._is_over and not self.may_repeat()
        if self._is_held:
            self.on_held()
        else:
            self._on_failure(is_unsent=not sent)

    def _on_withdrawn(self) -> None:
        try:
            # Two attempts may be withdrawn at once; the first one goes on for both.
            if self._wait_entry is None:
                self._on_failure(is_unsent=True)
        finally:
            self._release_callbacks()

    def _on_unforeseen_error(self) -> None:
        """Retry or end the call after a result, which may be of a request that ran."""
        self._run_count += 1
        self._failure_reason = FailureReason.ERROR
        self._on_failure(is_unsent=False)

    def _release_callbacks(self) -> None:
        """Drop the callbacks of a call that has ended.

        They refer to the query, which refers to its calls. Without the cycle both are
        freed at once, not by the garbage collector.
        """
        if self._is_over and not self._running:
            self.on_result = _ignore_result
            self.on_held = _ignore
            self.may_repeat = _allow

    def _on_response(
        self, attempt: Attempt, seconds: float, response: HttpResponse, now: float
    ) -> None:
        metadata = self.dispatcher.read_answer(response.status, response.headers)
        attempt.outcome = str(response.status)
        if metadata.has_conditions or attempt.searcher.gate is not None:
            self.dispatcher.record_conditions(attempt.searcher, metadata)
        if metadata.not_run:
            # A searcher that pauses, and one at whose address another one is, are not
            # asked again, so these rejections are few.
            is_shed = metadata.pause is None and not metadata.is_misdirected
            self._rejections += is_shed
            failure = (
                AttemptFailure.MISDIRECTED
                if metadata.is_misdirected
                else AttemptFailure.SHED
            )
            # A pause says when to come back, so the rejection is no sign of ill health.
            if metadata.pause is None:
                self._record_failure(attempt, failure)
            self._failure_reason = FailureReason.SHED
            self._on_failure(is_unsent=False)
            return
        self._run_count += 1
        # The caller would take these statuses as a promise that it has not run.
        is_misleading = response.status in NOT_RUN_STATUSES
        if response.status >= FIRST_SERVER_ERROR or is_misleading:
            if metadata.pause is None:
                self._record_failure(attempt, AttemptFailure.ERROR)
            self._failure_reason = FailureReason.ERROR
            self._failure_response = response
            self._on_failure(is_unsent=False)
            return
        median_time = (
            self._response_times.median if self._response_times.has_quantiles else None
        )
        attempt.searcher.health.record_response(seconds, median_time, now)
        self._response_times.record(seconds)
        entry = attempt.searcher.entry
        self.dispatcher.locality.answers.append(
            (entry.service, entry.failure_domain, seconds)
        )
        if not self._is_over:
            self._end()
            answer = ServiceAnswer(
                attempt.searcher.entry.identifier, metadata.stamp, response
            )
            self.on_result(self, answer)

    def _on_failure(self, is_unsent: bool) -> None:
        """Retry at another searcher, or end the call.

        Parameters
        ----------
        is_unsent : bool
            Whether no byte of the request was sent, so that a retry adds no load
            and is not charged to the budget.
        """
        if self._is_over or self._running:
            return
        can_repeat = self.plan.route.idempotent or not self._run_count
        if not can_repeat or not self._may_send_again():
            self._fail()
            return
        if not self._has_untried_searcher():
            self._fail_without_searcher()
            return
        if not is_unsent and not self._take_extra():
            self._failure_reason = FailureReason.BUDGET
            self._fail()
            return
        self.dispatcher.metrics.add("retries_sent")
        self._send_or_wait()

    def _may_send_again(self) -> bool:
        remaining_time = self.plan.deadline_at - self.dispatcher.clock.monotonic()
        attempts = self._run_count + len(self._running)
        return (
            attempts < self.max_attempts
            and self._rejections < MAX_REJECTIONS
            and remaining_time >= MIN_REMAINING_TIME
        )

    def _take_extra(self) -> bool:
        budget = self.dispatcher.budget(self.plan.service)
        if budget.take_extra(self.dispatcher.hosts):
            return True
        self.dispatcher.metrics.add("extras_denied")
        self.was_denied = True
        return False

    def _has_untried_searcher(self) -> bool:
        return any(
            searcher.entry.identifier not in self._tried
            for searcher in self.dispatcher.open_searchers(
                self.plan.service, self._tried
            )
        )

    def _fail_without_searcher(self) -> None:
        """End the call because no searcher is left that takes it."""
        if self._failure_reason in _REJECTED and not self.dispatcher.open_searchers(
            self.plan.service
        ):
            reason = self.dispatcher.closed_reason(self.plan.service)
            if reason is not FailureReason.NO_SEARCHER:
                self._failure_reason = reason
        self._fail()

    def _retry_after(self) -> timedelta | None:
        if self._failure_reason not in _CLOSED:
            return None
        wait = self.dispatcher.closed_wait(self.plan.service)
        return timedelta(seconds=clamp_retry_after(wait, MAX_KNOWN_RETRY_AFTER))

    def _end(self) -> None:
        """Let the call send nothing more, so that what it says of its runs is final."""
        self._is_over = True
        if self._wait_entry is not None:
            self._wait_entry.cancel()
        if self._running:
            self._withdraw_unsent()

    def _fail(self) -> None:
        if self._is_over:
            return
        self._end()
        failure = ServiceFailure(
            self._failure_reason,
            self.may_have_run,
            self._failure_response,
            self._retry_after(),
        )
        self.on_result(self, failure)

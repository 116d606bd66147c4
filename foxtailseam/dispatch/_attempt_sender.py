"""Attempts of a call to one service: how they are sent, watched and given up."""

from abc import ABC, abstractmethod
from functools import partial

from foxtailseam.dispatch._attempts import Attempt, CallPlan, CallRecord
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._health import AttemptFailure
from foxtailseam.dispatch._latency import ResponseTimes
from foxtailseam.dispatch._searcher import Searcher
from foxtailseam.http import ExchangeResult

# A request is not sent if less time than this is left until its deadline, in seconds.
MIN_REMAINING_TIME = 0.005
# An abandoned attempt counts as a missing response if it is older than this multiple
# of the route's 0.9 quantile.
NO_RESPONSE_FACTOR = 4.0


class AttemptSender(ABC):
    """Base class of a call: sends its attempts and keeps those in progress.

    Parameters
    ----------
    dispatcher : Dispatcher
        Shared state of the host's requests.
    plan : CallPlan
        Request to send.
    created_at : float
        Current time, in seconds of the dispatcher's clock.
    """

    __slots__ = (
        "_is_counted_in_budget",
        "_response_times",
        "_run_count",
        "_running",
        "_tried",
        "dispatcher",
        "plan",
        "record",
    )

    def __init__(self, dispatcher: Dispatcher, plan: CallPlan, created_at: float):
        self.dispatcher = dispatcher
        self.plan = plan
        self.record = CallRecord(created_at)
        self._response_times: ResponseTimes = dispatcher.response_times(plan.route)
        self._running: dict[int, Attempt] = {}
        # Identifiers of the searchers that the request was sent to.
        self._tried: set[str] = set()
        self._run_count = 0
        self._is_counted_in_budget = False

    @property
    def is_running(self) -> bool:
        """Return whether an attempt is in progress."""
        return bool(self._running)

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have started to run the request."""
        return self.attempts_run > 0

    @property
    def attempts_run(self) -> int:
        """Return the number of searchers that may have started to run the request."""
        return self._run_count + sum(
            [
                attempt.exchange is not None and attempt.exchange.is_sent
                for attempt in self._running.values()
            ]
        )

    @property
    def last_sent_at(self) -> float:
        """Return when the latest attempt was sent, or else the call was created."""
        attempts = self.record.attempts
        return attempts[-1].sent_at if attempts else self.record.started_at

    def record_silence(self, now: float) -> None:
        """Report the searchers whose answers are overdue to the contact tracker.

        Parameters
        ----------
        now : float
            Current time, in seconds of the dispatcher's clock.
        """
        for attempt in self._running.values():
            if attempt.searcher.is_stalled(now):
                self.dispatcher.contacts.record_silence(attempt.searcher.identifier)

    @abstractmethod
    def expire(self) -> None:
        """End the call because its deadline passed."""

    @abstractmethod
    def _on_exchange(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Handle the result of an attempt."""

    @abstractmethod
    def _on_withdrawn(self) -> None:
        """Handle that an attempt was withdrawn before it was sent."""

    def _send(self, searcher: Searcher) -> None:
        plan = self.plan
        dispatcher = self.dispatcher
        now = dispatcher.clock.monotonic()
        if plan.deadline_at - now < MIN_REMAINING_TIME:
            self.expire()
            return
        if not self._is_counted_in_budget:
            self._is_counted_in_budget = True
            dispatcher.budget(plan.service).count_request()
        identifier = searcher.entry.identifier
        self._tried.add(identifier)
        number = searcher.begin_request(self._response_times.median, now)
        attempt = Attempt(searcher, number, now)
        self._running[id(attempt)] = attempt
        self.record.attempts.append(attempt)
        try:
            attempt.exchange = searcher.pool.send(
                partial(self._render, attempt),
                plan.identifier,
                plan.request.method == b"HEAD",
                partial(self._on_exchange, attempt),
            )
        except Exception:
            del self._running[id(attempt)]
            searcher.end_request(number, now)
            raise
        if not attempt.exchange.is_sent:
            attempt.opens_connection = True
            searcher.on_withdrawal(number, partial(self._withdraw, attempt))
            dispatcher.metrics.add("connections_opened")

    def _render(self, attempt: Attempt) -> bytes:
        now = self.dispatcher.clock.monotonic()
        attempt.written_at = now
        if attempt.opens_connection:
            self.dispatcher.contacts.record_connected()
        payload = self.plan.template.render(
            self.plan.deadline_at - now, attempt.searcher.entry.identifier
        )
        self.dispatcher.traffic.add_request(attempt.searcher, len(payload))
        return payload

    def _record_failure(self, attempt: Attempt, failure: AttemptFailure) -> None:
        if attempt.searcher.health.record_failure(failure):
            self.dispatcher.on_ejected(attempt.searcher)

    def _withdraw_unsent(self) -> None:
        """Abandon the attempts whose connections are still being opened."""
        for attempt in list(self._running.values()):
            if not attempt.exchange.is_sent:
                self._abandon(attempt)

    def _withdraw(self, attempt: Attempt) -> bool:
        """Withdraw an attempt whose searcher must get no more requests.

        Returns False if the attempt is sent or over.
        """
        if id(attempt) not in self._running or attempt.exchange.is_sent:
            return False
        self._abandon(attempt)
        attempt.outcome = "withdrawn"
        # Later, so that one request that fails leaves none at the searcher.
        self.dispatcher.timers.call_later(0.0, self._on_withdrawn)
        return True

    def _abandon(self, attempt: Attempt) -> None:
        del self._running[id(attempt)]
        now = self.dispatcher.clock.monotonic()
        seconds = attempt.searcher.end_request(attempt.number, now)
        attempt.outcome = "abandoned"
        if seconds > NO_RESPONSE_FACTOR * self._response_times.quantile(0.9):
            self._record_failure(attempt, AttemptFailure.NO_RESPONSE)
            self.dispatcher.contacts.record_silence(attempt.searcher.identifier)
        attempt.exchange.cancel()
        self.dispatcher.waiting.admit_soon(self.plan.service)

"""Sends requests to searchers and updates the searchers' state from the results."""

from collections.abc import Callable
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.searchers._attempt_results import (
    Answered,
    AttemptResult,
    Broken,
    Mismatched,
    NotSent,
    Shed,
    TimedOut,
    VersionGone,
)
from foxtailseam.searchers._client import AttemptRequest
from foxtailseam.searchers._controller import SearcherController
from foxtailseam.searchers._request import ANY_VERSION, ShardRequest
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._slots import SlotQueue
from foxtailseam.searchers._state import SearcherEvent

TIMEOUT_FACTOR = 4
MIN_RESPONSE_TIMEOUT = timedelta(milliseconds=50)


class AttemptSender:
    """Sends requests to searchers and updates the searchers' state from the results.

    Must be used from a single event loop.

    Parameters
    ----------
    searchers : SearcherController
        Registry of the searchers and their states.
    slots : SlotQueue
        Queue that the slot of an attempt is released to.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Receives counts and latencies.
    """

    def __init__(
        self,
        searchers: SearcherController,
        slots: SlotQueue,
        clock: Clock,
        metrics: Metrics,
    ):
        self.searchers = searchers
        self.slots = slots
        self.clock = clock
        self.metrics = metrics

    async def send(
        self, searcher: Searcher, request: ShardRequest, attempt_request: AttemptRequest
    ) -> AttemptResult:
        """Send a request once to a searcher whose slot the caller has acquired.

        Parameters
        ----------
        searcher : Searcher
            Searcher to send to; its slot is released before this returns.
        request : ShardRequest
            Sub-request that the attempt belongs to.
        attempt_request : AttemptRequest
            HTTP request to send.

        Returns
        -------
        AttemptResult
            Result of the attempt, already applied to the searcher's state.
        """
        response_timeout = (
            self._response_timeout(searcher)
            if attempt_request.path == "/search"
            else None
        )
        started = self.clock.monotonic()

        try:
            result = await self._send_with_timeout(
                searcher, request, attempt_request, response_timeout
            )
        finally:
            self.slots.release(searcher)
        duration = timedelta(seconds=self.clock.monotonic() - started)
        self._update_state(searcher, request, result, duration)
        return result

    async def _send_with_timeout(
        self,
        searcher: Searcher,
        request: ShardRequest,
        attempt_request: AttemptRequest,
        response_timeout: timedelta | None,
    ) -> AttemptResult:
        # The process may have been paused since the slot was acquired.
        remaining = timedelta(seconds=request.deadline - self.clock.monotonic())
        if remaining <= timedelta():
            return NotSent()
        timeout = min(remaining, response_timeout) if response_timeout else remaining
        return await searcher.client.send(attempt_request, timeout)

    def _response_timeout(self, searcher: Searcher) -> timedelta | None:
        quantile = searcher.latency.quantile(0.99)
        if quantile is None:
            return None
        return max(MIN_RESPONSE_TIMEOUT, TIMEOUT_FACTOR * quantile)

    def _update_state(
        self,
        searcher: Searcher,
        request: ShardRequest,
        result: AttemptResult,
        duration: timedelta,
    ) -> None:
        handlers: dict[type, Callable[[], None]] = {
            Answered: lambda: self._handle_answer(searcher, request, result, duration),
            Shed: lambda: self._handle_shed(searcher, result),
            VersionGone: lambda: searcher.record_missing_version(request.index_version),
            NotSent: lambda: self._handle_not_sent(searcher, request, result),
            Broken: lambda: self._handle_broken(searcher, request, result),
            TimedOut: lambda: self._handle_timeout(searcher, request, duration),
            Mismatched: lambda: self._handle_mismatch(searcher, request),
        }
        handler = handlers.get(type(result))
        if handler is not None:
            handler()

    def _handle_answer(
        self,
        searcher: Searcher,
        request: ShardRequest,
        result: Answered,
        duration: timedelta,
    ) -> None:
        self.metrics.observe("sub_request_latency", duration)
        changed = searcher.record_answer(duration, result.incarnation)
        self.searchers.report(searcher, SearcherEvent.ANSWERED, changed)
        if request.index_version not in (ANY_VERSION, result.index_version):
            searcher.record_missing_version(request.index_version)
        if result.draining:
            self.searchers.record_drain_signal(searcher)

    def _handle_shed(self, searcher: Searcher, result: Shed) -> None:
        self.metrics.add("sheds_received")
        searcher.record_shed()
        if result.draining:
            self.searchers.record_drain_signal(searcher)

    def _handle_not_sent(
        self, searcher: Searcher, request: ShardRequest, result: NotSent
    ) -> None:
        if self.clock.monotonic() >= request.deadline:
            return
        if result.timed_out:
            self.searchers.record_failure(searcher)
        else:
            self.searchers.apply(searcher, SearcherEvent.UNREACHABLE)

    def _handle_broken(
        self, searcher: Searcher, request: ShardRequest, result: Broken
    ) -> None:
        if not result.lost:
            self.searchers.record_failure(searcher)
            return
        self.searchers.apply(searcher, SearcherEvent.UNREACHABLE)
        self.searchers.recorder.record(
            EventCode.SEARCHER_LOST, request.request_id, searcher=searcher.address
        )

    def _handle_timeout(
        self, searcher: Searcher, request: ShardRequest, duration: timedelta
    ) -> None:
        searcher.record_timeout(duration)
        if searcher.drop_connections():
            self.searchers.recorder.record(
                EventCode.CONNECTIONS_DROPPED,
                request.request_id,
                searcher=searcher.address,
            )

    def _handle_mismatch(self, searcher: Searcher, request: ShardRequest) -> None:
        self.metrics.add("answers_mismatched")
        self.searchers.recorder.record(
            EventCode.ANSWER_MISMATCHED,
            request.request_id,
            searcher=searcher.address,
        )

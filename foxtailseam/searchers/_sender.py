"""Sends one attempt to one searcher, and learns from what comes of it."""

from collections.abc import Callable
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.searchers._attempts import (
    Answered,
    Attempt,
    Broken,
    Mismatched,
    NotSent,
    Shed,
    TimedOut,
    VersionGone,
)
from foxtailseam.searchers._client import SubRequest
from foxtailseam.searchers._controller import SearcherController
from foxtailseam.searchers._request import ANY_VERSION, ShardRequest
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._slots import SlotQueue
from foxtailseam.searchers._state import SearcherEvent

SILENCE_FACTOR = 4
LEAST_SILENCE = timedelta(milliseconds=50)


class AttemptSender:
    """Runs attempts; used from one event loop.

    Parameters
    ----------
    searchers : SearcherController
        The searchers and their states.
    slots : SlotQueue
        Where a slot is given back.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Where counts and latency are kept.
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
        self, searcher: Searcher, request: ShardRequest, sub_request: SubRequest
    ) -> Attempt:
        """Run one attempt, in a slot taken before.

        Parameters
        ----------
        searcher : Searcher
            Where to; its slot is free again when this returns.
        request : ShardRequest
            What for.
        sub_request : SubRequest
            What is sent.

        Returns
        -------
        Attempt
            The outcome, after the searcher's state took note of it.
        """
        silence = self._silence(searcher) if sub_request.path == "/search" else None
        started = self.clock.monotonic()

        try:
            attempt = await self._attempt(searcher, request, sub_request, silence)
        finally:
            self.slots.release(searcher)
        duration = timedelta(seconds=self.clock.monotonic() - started)
        self._learn(searcher, request, attempt, duration)
        return attempt

    async def _attempt(
        self,
        searcher: Searcher,
        request: ShardRequest,
        sub_request: SubRequest,
        silence: timedelta | None,
    ) -> Attempt:
        # A pause may have passed since the slot was taken.
        remaining = timedelta(seconds=request.deadline - self.clock.monotonic())
        if remaining <= timedelta():
            return NotSent()
        timeout = min(remaining, silence) if silence else remaining
        return await searcher.client.send(sub_request, timeout)

    def _silence(self, searcher: Searcher) -> timedelta | None:
        quantile = searcher.latency.quantile(0.99)
        if quantile is None:
            return None
        return max(LEAST_SILENCE, SILENCE_FACTOR * quantile)

    def _learn(
        self,
        searcher: Searcher,
        request: ShardRequest,
        attempt: Attempt,
        duration: timedelta,
    ) -> None:
        learners: dict[type, Callable[[], None]] = {
            Answered: lambda: self._learn_answer(searcher, request, attempt, duration),
            Shed: lambda: self._learn_shed(searcher, attempt),
            VersionGone: lambda: searcher.lacked_version(request.index_version),
            NotSent: lambda: self._learn_not_sent(searcher, request),
            Broken: lambda: self._learn_broken(searcher, request, attempt),
            TimedOut: lambda: self._learn_timeout(searcher, request, duration),
            Mismatched: lambda: self._learn_mismatch(searcher, request),
        }
        learn = learners.get(type(attempt))
        if learn is not None:
            learn()

    def _learn_answer(
        self,
        searcher: Searcher,
        request: ShardRequest,
        attempt: Answered,
        duration: timedelta,
    ) -> None:
        self.metrics.observe("sub_request_latency", duration)
        changed = searcher.answered(duration, attempt.incarnation)
        self.searchers.report(searcher, SearcherEvent.ANSWERED, changed)
        if request.index_version not in (ANY_VERSION, attempt.index_version):
            searcher.lacked_version(request.index_version)
        if attempt.draining:
            self.searchers.drain_signal(searcher)

    def _learn_shed(self, searcher: Searcher, attempt: Shed) -> None:
        self.metrics.add("sheds_received")
        searcher.shed()
        if attempt.draining:
            self.searchers.drain_signal(searcher)

    def _learn_not_sent(self, searcher: Searcher, request: ShardRequest) -> None:
        if self.clock.monotonic() < request.deadline:
            self.searchers.apply(searcher, SearcherEvent.UNREACHABLE)

    def _learn_broken(
        self, searcher: Searcher, request: ShardRequest, attempt: Broken
    ) -> None:
        if not attempt.lost:
            self.searchers.failed(searcher)
            return
        self.searchers.apply(searcher, SearcherEvent.UNREACHABLE)
        self.searchers.recorder.record(
            EventCode.SEARCHER_LOST, request.request_id, searcher=searcher.address
        )

    def _learn_timeout(
        self, searcher: Searcher, request: ShardRequest, duration: timedelta
    ) -> None:
        searcher.slowed(duration)
        if searcher.drop_connections():
            self.searchers.recorder.record(
                EventCode.CONNECTIONS_DROPPED,
                request.request_id,
                searcher=searcher.address,
            )

    def _learn_mismatch(self, searcher: Searcher, request: ShardRequest) -> None:
        self.metrics.add("answers_mismatched")
        self.searchers.recorder.record(
            EventCode.ANSWER_MISMATCHED,
            request.request_id,
            searcher=searcher.address,
        )

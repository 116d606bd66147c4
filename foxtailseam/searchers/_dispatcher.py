"""Runs sub-requests with queueing, hedges and retries until answer or deadline."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.outcomes import MissingReason, SubAnswer
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
from foxtailseam.searchers._budget import RatioBudget
from foxtailseam.searchers._client import AttemptRequest
from foxtailseam.searchers._controller import SearcherController
from foxtailseam.searchers._request import BatchProgress, ShardRequest
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._sender import AttemptSender
from foxtailseam.searchers._slots import SlotQueue
from foxtailseam.utils import new_identifier

DEFAULT_HEDGE_DELAY = timedelta(milliseconds=50)
MIN_HEDGE_DELAY = timedelta(milliseconds=5)
# Ends of an attempt after which the same searcher may still answer.
_NO_ANSWER_REASONS = frozenset({MissingReason.DEADLINE, MissingReason.NO_SEARCHER})


@dataclass
class _Progress:
    """Mutable state of one sub-request.

    Parameters
    ----------
    running : dict of asyncio.Task to Searcher
        Attempts in flight.
    request_ids : dict of asyncio.Task to str
        Identifier sent with each attempt.
    tried : set of str
        Addresses of the searchers that an attempt was sent to.
    attempts : int
        Number of attempts started.
    lost : int
        Number of attempts that ended with the searcher lost.
    hedged : bool
        Whether a hedge was sent or was decided against.
    missing_reason : MissingReason
        Reason to return if no answer arrives; that of the latest failure.
    """

    running: dict[asyncio.Task, Searcher] = field(default_factory=dict)
    request_ids: dict[asyncio.Task, str] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    lost: int = 0
    hedged: bool = False
    missing_reason: MissingReason = MissingReason.DEADLINE


class SubRequestDispatcher:
    """Sends sub-requests to searchers.

    Must be used from a single event loop.

    Parameters
    ----------
    searchers : SearcherController
        Registry of the searchers and their states.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Receives counts and latencies.
    """

    def __init__(
        self,
        searchers: SearcherController,
        clock: Clock,
        metrics: Metrics,
    ):
        self.searchers = searchers
        self.clock = clock
        self.metrics = metrics
        self._slots = SlotQueue(clock)
        self._sender = AttemptSender(searchers, self._slots, clock, metrics)
        self._hedge_budgets: defaultdict[str, RatioBudget] = defaultdict(RatioBudget)
        self._retry_budgets: defaultdict[str, RatioBudget] = defaultdict(RatioBudget)

    async def search(
        self, request: ShardRequest, batch: BatchProgress
    ) -> tuple[SubAnswer, timedelta]:
        """Run a repeatable sub-request.

        Parameters
        ----------
        request : ShardRequest
            Sub-request to run.
        batch : BatchProgress
            Progress shared by all sub-requests of the query in this process.

        Returns
        -------
        answer : SubAnswer
            The hits, or the reason why the shard is missing.
        queue_delay : timedelta
            Time that the sub-request waited for its first slot.
        """
        self._hedge_budgets[request.family].deposit(request.policy.hedge_budget)
        self._retry_budgets[request.family].deposit(request.policy.retry_budget)
        progress = _Progress()
        started = self.clock.monotonic()
        searcher = await self._acquire_first_slot(request, progress)
        queue_delay = timedelta(seconds=self.clock.monotonic() - started)
        if searcher is None:
            return self._missing_answer(request, progress), queue_delay
        self._start_attempt(searcher, request, progress)
        answer = await self._wait_for_answer(request, batch, progress)
        self._cancel_running(progress)
        return answer or self._missing_answer(request, progress), queue_delay

    async def submit(self, request: ShardRequest) -> AttemptResult:
        """Run a non-repeatable request; it is sent to at most one searcher.

        Another searcher is tried only if nothing was sent to the previous one.

        Parameters
        ----------
        request : ShardRequest
            Request to run.

        Returns
        -------
        AttemptResult
            Result of the attempt that sent the request, or `NotSent`.
        """
        progress = _Progress()
        while True:
            searcher = await self._acquire_first_slot(request, progress)
            if searcher is None:
                return NotSent()
            progress.tried.add(searcher.address)
            attempt_request = self._new_attempt_request(request, "/submit")
            result = await self._sender.send(searcher, request, attempt_request)
            if not isinstance(result, NotSent):
                return result

    def assign_free_slots(self) -> None:
        """Assign slots to waiting sub-requests after searchers changed state."""
        self._slots.assign_free_slots()

    async def check_health(self) -> None:
        """Query the health of leaving searchers that are due for a check."""
        due = [
            item for item in self.searchers.searchers if item.is_due_for_health_check
        ]
        for searcher in due:
            is_ready = await searcher.client.is_ready()
            self.searchers.record_health_check(searcher, is_ready)

    def close(self) -> None:
        """Close the connections to all searchers."""
        self.searchers.close()

    def _replicas(self, request: ShardRequest) -> list[Searcher]:
        get_or_create = self.searchers.get_or_create
        return [
            get_or_create(address, request.slots, request.connections)
            for address in request.shard.searchers
        ]

    def _candidates(
        self, request: ShardRequest, excluded: set[str]
    ) -> tuple[Searcher, ...]:
        return tuple(
            searcher
            for searcher in self._replicas(request)
            if searcher.address not in excluded
            and searcher.limit
            and searcher.holds_version(request.index_version)
        )

    def _no_candidate_reason(self, request: ShardRequest) -> MissingReason:
        if any(searcher.limit for searcher in self._replicas(request)):
            return MissingReason.WRONG_VERSION
        return MissingReason.NO_SEARCHER

    async def _acquire_first_slot(
        self, request: ShardRequest, progress: _Progress
    ) -> Searcher | None:
        candidates = self._candidates(request, progress.tried)
        if not candidates:
            progress.missing_reason = self._no_candidate_reason(request)
            return None
        searcher = self._slots.try_acquire(candidates)
        if searcher is not None:
            return searcher
        if not self._slots.can_meet_deadline(candidates, request.deadline):
            progress.missing_reason = MissingReason.SHED
            return None
        priority = request.policy.priority
        searcher = await self._slots.acquire(candidates, priority, request.deadline)
        if searcher is None:
            progress.missing_reason = MissingReason.SHED
        return searcher

    def _start_attempt(
        self, searcher: Searcher, request: ShardRequest, progress: _Progress
    ) -> None:
        attempt_request = self._new_attempt_request(request, "/search")
        task = asyncio.create_task(
            self._sender.send(searcher, request, attempt_request)
        )
        progress.running[task] = searcher
        progress.request_ids[task] = attempt_request.request_id
        progress.tried.add(searcher.address)
        progress.attempts += 1
        self.metrics.add("sub_requests_sent")

    async def _wait_for_answer(
        self, request: ShardRequest, batch: BatchProgress, progress: _Progress
    ) -> SubAnswer | None:
        delay = self._hedge_delay(request).total_seconds()
        hedge_at = self.clock.monotonic() + delay
        while progress.running:
            now = self.clock.monotonic()
            if now >= request.deadline:
                progress.missing_reason = MissingReason.DEADLINE
                return None
            wake_at = request.deadline
            if not progress.hedged:
                wake_at = min(wake_at, max(hedge_at, now))
            done, _ = await asyncio.wait(
                progress.running,
                timeout=wake_at - now,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                answer = self._process_attempt(task, request, progress)
                if answer is not None:
                    batch.answered += 1
                    return answer
            if not done and not progress.hedged:
                self._hedge(request, batch, progress)
                hedge_at += delay
            if not progress.running:
                await self._retry(request, progress)
        return None

    def _process_attempt(
        self, task: asyncio.Task, request: ShardRequest, progress: _Progress
    ) -> SubAnswer | None:
        progress.running.pop(task)
        match task.result():
            case Answered(index_version=version, hits=hits):
                if version == request.index_version:
                    return SubAnswer(
                        request.shard.name,
                        version,
                        hits,
                        attempts=progress.attempts,
                        lost_searchers=progress.lost,
                    )
                progress.missing_reason = MissingReason.WRONG_VERSION
            case VersionGone():
                progress.missing_reason = MissingReason.WRONG_VERSION
            case Shed():
                progress.missing_reason = MissingReason.SHED
            case Broken(lost=lost):
                progress.missing_reason = MissingReason.UPSTREAM_LOST
                progress.lost += lost
            case NotSent():
                progress.missing_reason = MissingReason.NO_SEARCHER
            case TimedOut():
                progress.missing_reason = MissingReason.DEADLINE
            case Mismatched():
                progress.missing_reason = MissingReason.WRONG_ANSWER
        return None

    def _hedge(
        self, request: ShardRequest, batch: BatchProgress, progress: _Progress
    ) -> None:
        if not batch.allows_hedge:
            return
        progress.hedged = True
        if request.suspect or progress.lost:
            return
        candidates = self._candidates(request, progress.tried)
        if not candidates or not self._hedge_budgets[request.family].withdraw():
            return
        searcher = self._slots.try_acquire(candidates)
        if searcher is None:
            self._hedge_budgets[request.family].deposit(1.0)
            return
        self.metrics.add("hedges_sent")
        self.searchers.recorder.record(
            EventCode.SUB_REQUEST_HEDGED,
            request.request_id,
            shard=request.shard.name,
            searcher=searcher.address,
        )
        self._start_attempt(searcher, request, progress)

    async def _retry(self, request: ShardRequest, progress: _Progress) -> None:
        # If nothing was sent, another searcher can be tried without extra load
        # or risk.
        nothing_sent = progress.missing_reason is MissingReason.NO_SEARCHER
        # The request itself may have crashed the searcher, so the entry process
        # decides whether to send it again.
        if progress.lost or (request.suspect and not nothing_sent):
            return
        candidates = self._candidates(request, progress.tried)
        if not candidates and progress.missing_reason in _NO_ANSWER_REASONS:
            # A searcher that did not answer an attempt may answer on a new connection.
            # One that refuses connections has been ejected and is no candidate.
            candidates = self._candidates(request, set())
        if not candidates or not self._slots.can_meet_deadline(
            candidates, request.deadline
        ):
            return
        if not nothing_sent and not self._retry_budgets[request.family].withdraw():
            return
        searcher = self._slots.try_acquire(candidates)
        if searcher is None:
            priority = request.policy.priority
            searcher = await self._slots.acquire(candidates, priority, request.deadline)
        if searcher is None:
            return
        self.metrics.add("retries_sent")
        self.searchers.recorder.record(
            EventCode.SUB_REQUEST_RETRIED,
            request.request_id,
            shard=request.shard.name,
            searcher=searcher.address,
            after=progress.missing_reason,
        )
        self._start_attempt(searcher, request, progress)

    def _hedge_delay(self, request: ShardRequest) -> timedelta:
        candidates = self._candidates(request, set())
        quantiles = [
            quantile
            for searcher in candidates
            if (quantile := searcher.latency.quantile(request.policy.hedge_after))
        ]
        # The fastest replica determines the delay, so that a straggler does not
        # postpone the hedge.
        delay = min(quantiles, default=DEFAULT_HEDGE_DELAY)
        return max(delay, MIN_HEDGE_DELAY)

    def _cancel_running(self, progress: _Progress) -> None:
        for task, searcher in progress.running.items():
            searcher.client.cancel(progress.request_ids[task])

    def _missing_answer(self, request: ShardRequest, progress: _Progress) -> SubAnswer:
        self.metrics.add(f"shards_lacking_{progress.missing_reason.replace('-', '_')}")
        return SubAnswer(
            request.shard.name,
            lack=progress.missing_reason,
            attempts=progress.attempts,
            lost_searchers=progress.lost,
        )

    def _new_attempt_request(self, request: ShardRequest, path: str) -> AttemptRequest:
        return AttemptRequest(
            new_identifier(), path, request.index_version, request.body
        )

"""Runs sub-requests: slot, attempt, hedge, retry, until answer or deadline."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.outcomes import MissingReason, SubAnswer
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
from foxtailseam.searchers._budget import RatioBudget
from foxtailseam.searchers._client import SubRequest
from foxtailseam.searchers._controller import SearcherController
from foxtailseam.searchers._request import BatchEvidence, ShardRequest
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._sender import AttemptSender
from foxtailseam.searchers._slots import SlotQueue
from foxtailseam.utils import new_identifier

DEFAULT_HEDGE_DELAY = timedelta(milliseconds=50)
LEAST_HEDGE_DELAY = timedelta(milliseconds=5)


@dataclass
class _Progress:
    """What has happened to one sub-request so far."""

    running: dict[asyncio.Task, Searcher] = field(default_factory=dict)
    ids: dict[asyncio.Task, str] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    lost: int = 0
    hedged: bool = False
    lack: MissingReason = MissingReason.DEADLINE


class Dispatcher:
    """Sends sub-requests to searchers; used from one event loop.

    Parameters
    ----------
    searchers : SearcherController
        The searchers and their states.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Where counts and latency are kept.
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
        self._hedges: defaultdict[str, RatioBudget] = defaultdict(RatioBudget)
        self._retries: defaultdict[str, RatioBudget] = defaultdict(RatioBudget)

    async def search(
        self, request: ShardRequest, evidence: BatchEvidence
    ) -> tuple[SubAnswer, timedelta]:
        """Run a repeatable sub-request.

        Parameters
        ----------
        request : ShardRequest
            What to run.
        evidence : BatchEvidence
            Shared by the sub-requests of one query.

        Returns
        -------
        answer : SubAnswer
            The hits, or the reason why the shard is lacking.
        queue_delay : timedelta
            How long the sub-request waited for its first slot.
        """
        self._hedges[request.family].deposit(request.policy.hedge_budget)
        self._retries[request.family].deposit(request.policy.retry_budget)
        progress = _Progress()
        started = self.clock.monotonic()
        searcher = await self._first_slot(request, progress)
        queue_delay = timedelta(seconds=self.clock.monotonic() - started)
        if searcher is None:
            return self._lacking(request, progress), queue_delay
        self._start(searcher, request, progress)
        answer = await self._until_answered(request, evidence, progress)
        self._abandon(progress)
        return answer or self._lacking(request, progress), queue_delay

    async def submit(self, request: ShardRequest) -> Attempt:
        """Run a request that may not be repeated: at most one is ever sent.

        Another searcher is tried only while nothing was sent.
        """
        progress = _Progress()
        while True:
            searcher = await self._first_slot(request, progress)
            if searcher is None:
                return NotSent()
            progress.tried.add(searcher.address)
            sub_request = self._sub_request(request, "/submit")
            attempt = await self._sender.send(searcher, request, sub_request)
            if not isinstance(attempt, NotSent):
                return attempt

    def serve_waiting(self) -> None:
        """Hand out slots that came free by a change of a searcher's state."""
        self._slots.serve_all()

    async def check_health(self) -> None:
        """Ask leaving searchers whose hold is over whether they came back."""
        due = [item for item in self.searchers.searchers if item.wants_health_check]
        for searcher in due:
            is_ready = await searcher.client.is_ready()
            self.searchers.health_checked(searcher, is_ready)

    def close(self) -> None:
        """Close connections."""
        self.searchers.close()

    def _replicas(self, request: ShardRequest) -> list[Searcher]:
        find = self.searchers.find
        return [
            find(address, request.slots, request.connections)
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

    def _reason_for_none(self, request: ShardRequest) -> MissingReason:
        if any(searcher.limit for searcher in self._replicas(request)):
            return MissingReason.WRONG_VERSION
        return MissingReason.NO_SEARCHER

    async def _first_slot(
        self, request: ShardRequest, progress: _Progress
    ) -> Searcher | None:
        candidates = self._candidates(request, progress.tried)
        if not candidates:
            progress.lack = self._reason_for_none(request)
            return None
        searcher = self._slots.take_now(candidates)
        if searcher is not None:
            return searcher
        if not self._slots.can_serve(candidates, request.deadline):
            progress.lack = MissingReason.SHED
            return None
        priority = request.policy.priority
        searcher = await self._slots.take(candidates, priority, request.deadline)
        if searcher is None:
            progress.lack = MissingReason.SHED
        return searcher

    def _start(
        self, searcher: Searcher, request: ShardRequest, progress: _Progress
    ) -> None:
        sub_request = self._sub_request(request, "/search")
        task = asyncio.create_task(self._sender.send(searcher, request, sub_request))
        progress.running[task] = searcher
        progress.ids[task] = sub_request.request_id
        progress.tried.add(searcher.address)
        progress.attempts += 1
        self.metrics.add("sub_requests_sent")

    async def _until_answered(
        self, request: ShardRequest, evidence: BatchEvidence, progress: _Progress
    ) -> SubAnswer | None:
        delay = self._hedge_delay(request).total_seconds()
        hedge_at = self.clock.monotonic() + delay
        while progress.running:
            current = self.clock.monotonic()
            if current >= request.deadline:
                progress.lack = MissingReason.DEADLINE
                return None
            wake_at = request.deadline
            if not progress.hedged:
                wake_at = min(wake_at, max(hedge_at, current))
            done, _ = await asyncio.wait(
                progress.running,
                timeout=wake_at - current,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                answer = self._finish(task, request, progress)
                if answer is not None:
                    evidence.answered += 1
                    return answer
            if not done and not progress.hedged:
                self._hedge(request, evidence, progress)
                hedge_at += delay
            if not progress.running:
                await self._retry(request, progress)
        return None

    def _finish(
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
                progress.lack = MissingReason.WRONG_VERSION
            case VersionGone():
                progress.lack = MissingReason.WRONG_VERSION
            case Shed():
                progress.lack = MissingReason.SHED
            case Broken(lost=lost):
                progress.lack = MissingReason.UPSTREAM_LOST
                progress.lost += lost
            case NotSent():
                progress.lack = MissingReason.NO_SEARCHER
            case TimedOut():
                progress.lack = MissingReason.DEADLINE
            case Mismatched():
                progress.lack = MissingReason.WRONG_ANSWER
        return None

    def _hedge(
        self, request: ShardRequest, evidence: BatchEvidence, progress: _Progress
    ) -> None:
        if not evidence.allows_hedge:
            return
        progress.hedged = True
        if request.suspect or progress.lost:
            return
        candidates = self._candidates(request, progress.tried)
        if not candidates or not self._hedges[request.family].withdraw():
            return
        searcher = self._slots.take_now(candidates)
        if searcher is None:
            self._hedges[request.family].deposit(1.0)
            return
        self.metrics.add("hedges_sent")
        self.searchers.recorder.record(
            EventCode.SUB_REQUEST_HEDGED,
            request.request_id,
            shard=request.shard.name,
            searcher=searcher.address,
        )
        self._start(searcher, request, progress)

    async def _retry(self, request: ShardRequest, progress: _Progress) -> None:
        # Where nothing was sent, trying elsewhere adds no load and no risk.
        is_free = progress.lack is MissingReason.NO_SEARCHER
        # After a loss the request itself may be the cause; the entry decides.
        if progress.lost or (request.suspect and not is_free):
            return
        candidates = self._candidates(request, progress.tried)
        if not candidates or not self._slots.can_serve(candidates, request.deadline):
            return
        if not is_free and not self._retries[request.family].withdraw():
            return
        searcher = self._slots.take_now(candidates)
        if searcher is None:
            priority = request.policy.priority
            searcher = await self._slots.take(candidates, priority, request.deadline)
        if searcher is None:
            return
        self.metrics.add("retries_sent")
        self.searchers.recorder.record(
            EventCode.SUB_REQUEST_RETRIED,
            request.request_id,
            shard=request.shard.name,
            searcher=searcher.address,
            after=progress.lack,
        )
        self._start(searcher, request, progress)

    def _hedge_delay(self, request: ShardRequest) -> timedelta:
        candidates = self._candidates(request, set())
        known = [
            quantile
            for searcher in candidates
            if (quantile := searcher.latency.quantile(request.policy.hedge_after))
        ]
        # The fastest replica tells what the shard can do; a straggler does not.
        delay = min(known, default=DEFAULT_HEDGE_DELAY)
        return max(delay, LEAST_HEDGE_DELAY)

    def _abandon(self, progress: _Progress) -> None:
        for task, searcher in progress.running.items():
            searcher.client.cancel(progress.ids[task])

    def _lacking(self, request: ShardRequest, progress: _Progress) -> SubAnswer:
        self.metrics.add(f"shards_lacking_{progress.lack.replace('-', '_')}")
        return SubAnswer(
            request.shard.name,
            lack=progress.lack,
            attempts=progress.attempts,
            lost_searchers=progress.lost,
        )

    def _sub_request(self, request: ShardRequest, path: str) -> SubRequest:
        return SubRequest(new_identifier(), path, request.index_version, request.body)

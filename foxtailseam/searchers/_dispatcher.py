"""Runs sub-requests: slot, attempt, hedge, retry, until answer or deadline."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.configuration import FamilyPolicy
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.outcomes import LackReason, SubAnswer
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
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._slots import SlotQueue
from foxtailseam.searchers._state import SearcherEvent
from foxtailseam.snapshots import Shard
from foxtailseam.utils import new_identifier

SILENCE_FACTOR = 4
LEAST_SILENCE = timedelta(milliseconds=50)
DEFAULT_HEDGE_DELAY = timedelta(milliseconds=50)
LEAST_HEDGE_DELAY = timedelta(milliseconds=5)
ANY_VERSION = 0


@dataclass(frozen=True, slots=True)
class ShardRequest:
    """One sub-request: a query for one shard.

    Parameters
    ----------
    request_id : str
        The caller's request.
    family : str
        Service family.
    index_version : int
        Pinned version; `ANY_VERSION` for a request that may not be repeated.
    body : bytes
        The query, as sent to searchers.
    shard : Shard
        The shard and its searchers.
    slots, connections : int
        What one searcher accepts.
    deadline : float
        Monotonic time, in seconds, after which the answer is of no use.
    policy : FamilyPolicy
        The rules in force.
    suspect : bool
        The request may crash searchers: send it once, to one searcher.
    """

    request_id: str
    family: str
    index_version: int
    body: bytes
    shard: Shard
    slots: int
    connections: int
    deadline: float
    policy: FamilyPolicy
    suspect: bool = False


@dataclass
class _Progress:
    """What has happened to one sub-request so far."""

    running: dict[asyncio.Task, Searcher] = field(default_factory=dict)
    ids: dict[asyncio.Task, str] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    lost: int = 0
    hedged: bool = False
    lack: LackReason = LackReason.DEADLINE


class Dispatcher:
    """Sends sub-requests to searchers; used from one event loop.

    Parameters
    ----------
    searchers : SearcherController
        The searchers and their states.
    threads : int
        Worker threads for blocking calls.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Where counts and latency are kept.
    """

    def __init__(
        self,
        searchers: SearcherController,
        threads: int,
        clock: Clock,
        metrics: Metrics,
    ):
        self.searchers = searchers
        self.threads = threads
        self.clock = clock
        self.metrics = metrics
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="searcher-call")
        self._slots = SlotQueue(clock)
        self._hedges: defaultdict[str, RatioBudget] = defaultdict(RatioBudget)
        self._retries: defaultdict[str, RatioBudget] = defaultdict(RatioBudget)

    async def search(self, request: ShardRequest) -> tuple[SubAnswer, timedelta]:
        """Run a repeatable sub-request.

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
        answer = await self._until_answered(request, progress)
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
            attempt = await self._attempt(searcher, request, sub_request)
            if not isinstance(attempt, NotSent):
                return attempt

    def serve_waiting(self) -> None:
        """Hand out slots that came free by a change of a searcher's state."""
        self._slots.serve_all()

    async def check_health(self) -> None:
        """Ask leaving searchers whose hold is over whether they came back."""
        due = [item for item in self.searchers.searchers if item.wants_health_check]
        loop = asyncio.get_running_loop()
        for searcher in due:
            check = searcher.client.is_ready
            is_ready = await loop.run_in_executor(self._pool, check)
            self.searchers.health_checked(searcher, is_ready)

    def close(self) -> None:
        """End the worker threads and close connections."""
        self._pool.shutdown(wait=False, cancel_futures=True)
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

    def _reason_for_none(self, request: ShardRequest) -> LackReason:
        if any(searcher.limit for searcher in self._replicas(request)):
            return LackReason.WRONG_VERSION
        return LackReason.NO_SEARCHER

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
            progress.lack = LackReason.SHED
            return None
        priority = request.policy.priority
        searcher = await self._slots.take(candidates, priority, request.deadline)
        if searcher is None:
            progress.lack = LackReason.SHED
        return searcher

    def _start(
        self, searcher: Searcher, request: ShardRequest, progress: _Progress
    ) -> None:
        sub_request = self._sub_request(request, "/search")
        task = asyncio.create_task(self._attempt(searcher, request, sub_request))
        progress.running[task] = searcher
        progress.ids[task] = sub_request.request_id
        progress.tried.add(searcher.address)
        progress.attempts += 1
        self.metrics.add("sub_requests_sent")

    async def _until_answered(
        self, request: ShardRequest, progress: _Progress
    ) -> SubAnswer | None:
        hedge_at = self.clock.monotonic() + self._hedge_delay(request).total_seconds()
        while progress.running:
            current = self.clock.monotonic()
            if current >= request.deadline:
                progress.lack = LackReason.DEADLINE
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
                    return answer
            if not done and not progress.hedged:
                self._hedge(request, progress)
            if not progress.running:
                self._retry(request, progress)
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
                progress.lack = LackReason.WRONG_VERSION
            case VersionGone():
                progress.lack = LackReason.WRONG_VERSION
            case Shed():
                progress.lack = LackReason.SHED
            case Broken(lost=lost):
                progress.lack = LackReason.UPSTREAM_LOST
                progress.lost += lost
            case NotSent():
                progress.lack = LackReason.NO_SEARCHER
            case TimedOut():
                progress.lack = LackReason.DEADLINE
            case Mismatched():
                progress.lack = LackReason.WRONG_ANSWER
        return None

    def _hedge(self, request: ShardRequest, progress: _Progress) -> None:
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

    def _retry(self, request: ShardRequest, progress: _Progress) -> None:
        # After a loss the request itself may be the cause; the entry decides.
        if request.suspect or progress.lost:
            return
        candidates = self._candidates(request, progress.tried)
        if not candidates or not self._slots.can_serve(candidates, request.deadline):
            return
        if not self._retries[request.family].withdraw():
            return
        searcher = self._slots.take_now(candidates)
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
        loop = asyncio.get_running_loop()
        for task, searcher in progress.running.items():
            request_id = progress.ids[task]
            loop.run_in_executor(self._pool, searcher.client.cancel, request_id)

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

    async def _attempt(
        self, searcher: Searcher, request: ShardRequest, sub_request: SubRequest
    ) -> Attempt:
        """Run one attempt in a worker thread; the caller has taken the slot."""
        loop = asyncio.get_running_loop()
        silence = self._silence(searcher) if sub_request.path == "/search" else None
        started = self.clock.monotonic()

        def send() -> Attempt:
            # A pause may have passed since the slot was taken.
            remaining = timedelta(seconds=request.deadline - self.clock.monotonic())
            if remaining <= timedelta():
                return NotSent()
            timeout = min(remaining, silence) if silence else remaining
            return searcher.client.send(sub_request, timeout)

        try:
            attempt = await loop.run_in_executor(self._pool, send)
        finally:
            self._slots.release(searcher)
        duration = timedelta(seconds=self.clock.monotonic() - started)
        self._learn(searcher, request, attempt, duration)
        return attempt

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
            self.searchers.apply(searcher, SearcherEvent.DRAIN_SIGNAL)

    def _learn_shed(self, searcher: Searcher, attempt: Shed) -> None:
        self.metrics.add("sheds_received")
        searcher.shed()
        if attempt.draining:
            self.searchers.apply(searcher, SearcherEvent.DRAIN_SIGNAL)

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

"""The gather process: owns the connections to a set of searchers."""

import asyncio
import math
from datetime import timedelta

import msgspec

from foxtailseam.daemons._node import Node
from foxtailseam.daemons._shutdown import WorkCounter
from foxtailseam.logs import EventCode
from foxtailseam.outcomes import RefusalReason
from foxtailseam.publications import PublicationName
from foxtailseam.rpc import (
    GatherService,
    SearchReply,
    SearchRequest,
    SubmitReply,
    SubmitRequest,
    SubmitStatus,
)
from foxtailseam.searchers import (
    ANY_VERSION,
    Answered,
    Attempt,
    BatchProgress,
    Dispatcher,
    NotSent,
    SearcherController,
    ShardRequest,
    Shed,
    VersionGone,
)

LEAST_REPLY_MARGIN = timedelta(milliseconds=5)
REPLY_MARGIN_SHARE = 0.1
UPKEEP = timedelta(milliseconds=100)


class Gather:
    """Runs sub-requests for entries.

    Parameters
    ----------
    node : Node
        The process it runs in.
    """

    def __init__(self, node: Node):
        self.node = node
        self._searchers = SearcherController(
            node.clock, node.recorder, node.leaving, node.peers.exchange_now
        )
        self._dispatcher = Dispatcher(
            self._searchers,
            node.clock,
            node.metrics,
        )
        self._work = WorkCounter()
        self._tasks: list[asyncio.Task] = []

    @property
    def in_flight(self) -> int:
        """Return how many calls are being served."""
        return self._work.count

    @property
    def services(self) -> list:
        """Return what is served to the system's other processes."""
        return [GatherService(self, self.node.peers.heard)]

    async def start(self) -> None:
        """Begin the upkeep of searchers' states."""
        self.node.published.add_listener(self._published)
        self._published(PublicationName.HOSTS)
        self._tasks.append(asyncio.create_task(self._keep_up()))

    def drain(self) -> None:
        """Serve on: entries that know of the drain ask other gathers."""

    async def stop(self) -> None:
        """End the upkeep and close connections."""
        for task in self._tasks:
            task.cancel()
        self._dispatcher.close()

    async def search(self, request: SearchRequest) -> SearchReply:
        """Run all sub-requests of one query."""
        with self._work:
            body = msgspec.json.encode({"query": request.query})
            deadline = self._deadline(request.remaining_ms)
            await self.node.wait_until_fresh(
                timedelta(milliseconds=request.remaining_ms)
            )
            policy = self.node.published.rules.rules.policy(request.family)
            self.node.recorder.record(
                EventCode.BATCH_RECEIVED,
                request.request_id,
                shards=len(request.shards),
            )
            evidence = BatchProgress(request.query_shards)
            runs = (
                self._dispatcher.search(
                    ShardRequest(
                        request.request_id,
                        request.family,
                        request.index_version,
                        body,
                        shard,
                        self._share(request.slots),
                        request.connections,
                        deadline,
                        policy,
                        request.suspect,
                    ),
                    evidence,
                )
                for shard in request.shards
            )
            results = await asyncio.gather(*runs)
            delay = max(delay for _, delay in results)
            return SearchReply(
                self.node.peers.envelope(),
                request.request_id,
                tuple(answer for answer, _ in results),
                delay / timedelta(milliseconds=1),
            )

    async def submit(self, request: SubmitRequest) -> SubmitReply:
        """Run a request that may not be repeated, at most once."""
        with self._work:
            self.node.check_for_pause()
            if not self.node.fresh.is_set():
                # It may have lain here for longer than its deadline.
                return self._not_run(request, RefusalReason.NOT_READY)
            attempt = await self._dispatcher.submit(
                ShardRequest(
                    request.request_id,
                    request.family,
                    ANY_VERSION,
                    request.body.encode(),
                    request.shard,
                    self._share(request.slots),
                    request.connections,
                    self._deadline(request.remaining_ms),
                    self.node.published.rules.rules.policy(request.family),
                )
            )
            status, detail = _submit_status(attempt)
            envelope = self.node.peers.envelope()
            return SubmitReply(envelope, request.request_id, status, detail)

    def _not_run(self, request: SubmitRequest, reason: RefusalReason) -> SubmitReply:
        return SubmitReply(
            self.node.peers.envelope(),
            request.request_id,
            SubmitStatus.NOT_RUN,
            reason,
        )

    def _deadline(self, remaining_ms: float) -> float:
        remaining = timedelta(milliseconds=remaining_ms)
        # The reply has to reach the entry, and be merged there, in time.
        remaining -= max(LEAST_REPLY_MARGIN, REPLY_MARGIN_SHARE * remaining)
        return self.node.clock.monotonic() + remaining.total_seconds()

    def _share(self, slots: int) -> int:
        settings = self.node.settings.gather
        return max(1, math.ceil(slots * settings.slot_share)) + settings.in_transit

    def _published(self, name: PublicationName) -> None:
        if name is PublicationName.HOSTS:
            hosts = self.node.published.hosts.value
            self._searchers.update_listed_leaving(hosts.leaving_searchers)

    async def _keep_up(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP.total_seconds())
            self._searchers.refresh_leaving()
            self._dispatcher.assign_free_slots()
            await self._dispatcher.check_health()


def _submit_status(attempt: Attempt) -> tuple[SubmitStatus, str]:
    match attempt:
        case Answered(receipt=receipt):
            return SubmitStatus.RAN, receipt
        case NotSent():
            return SubmitStatus.NOT_RUN, RefusalReason.NO_SEARCHER
        case Shed() | VersionGone():
            return SubmitStatus.NOT_RUN, RefusalReason.SHED
        case _:
            return SubmitStatus.UNKNOWN, type(attempt).__name__

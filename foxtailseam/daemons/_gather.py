"""Gather process: sends sub-requests to searchers and keeps connections to them."""

import asyncio
import math
from datetime import timedelta

import msgspec

from foxtailseam.daemons._node import Node
from foxtailseam.daemons._shutdown import InFlightCounter
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
    AttemptResult,
    BatchProgress,
    NotSent,
    SearcherController,
    ShardRequest,
    Shed,
    SubRequestDispatcher,
    VersionGone,
)

MIN_REPLY_MARGIN = timedelta(milliseconds=5)
REPLY_MARGIN_FRACTION = 0.1
MAINTENANCE_INTERVAL = timedelta(milliseconds=100)


class Gather:
    """Gather process, which runs sub-requests on behalf of entries.

    Parameters
    ----------
    node : Node
        Components of the process.
    """

    def __init__(self, node: Node):
        self.node = node
        self._searchers = SearcherController(
            node.clock, node.recorder, node.leaving, node.peers.exchange_now
        )
        self._dispatcher = SubRequestDispatcher(
            self._searchers,
            node.clock,
            node.metrics,
        )
        self._in_flight_counter = InFlightCounter()
        self._tasks: list[asyncio.Task] = []

    @property
    def in_flight(self) -> int:
        """Return the number of calls from entries in flight."""
        return self._in_flight_counter.count

    @property
    def services(self) -> list:
        """Return the gRPC services offered to other processes of the fleet."""
        return [GatherService(self, self.node.peers.handle_envelope)]

    async def start(self) -> None:
        """Subscribe to the list of hosts and start the maintenance task."""
        self.node.published.add_listener(self._on_published)
        self._on_published(PublicationName.HOSTS)
        self._tasks.append(asyncio.create_task(self._run_maintenance()))

    def drain(self) -> None:
        """Do nothing, since a draining gather keeps serving.

        Entries that know of the drain send new work to other gathers.
        """

    async def stop(self) -> None:
        """Stop the maintenance task and close connections to searchers."""
        for task in self._tasks:
            task.cancel()
        self._dispatcher.close()

    async def search(self, request: SearchRequest) -> SearchReply:
        """Run the sub-requests of one query and return one answer per shard."""
        with self._in_flight_counter:
            body = msgspec.json.encode({"query": request.query})
            deadline = self._searcher_deadline(request.remaining_ms)
            await self.node.wait_until_fresh(
                timedelta(milliseconds=request.remaining_ms)
            )
            policy = self.node.published.rules.rules.policy(request.family)
            self.node.recorder.record(
                EventCode.BATCH_RECEIVED,
                request.request_id,
                shards=len(request.shards),
            )
            batch_progress = BatchProgress(request.query_shards)
            sub_requests = (
                self._dispatcher.search(
                    ShardRequest(
                        request.request_id,
                        request.family,
                        request.index_version,
                        body,
                        shard,
                        self._slot_limit(request.slots),
                        request.connections,
                        deadline,
                        policy,
                        request.suspect,
                    ),
                    batch_progress,
                )
                for shard in request.shards
            )
            results = await asyncio.gather(*sub_requests)
            delay = max(delay for _, delay in results)
            return SearchReply(
                self.node.peers.envelope(),
                request.request_id,
                tuple(answer for answer, _ in results),
                delay / timedelta(milliseconds=1),
            )

    async def submit(self, request: SubmitRequest) -> SubmitReply:
        """Run a non-repeatable request at most once.

        It is refused while the state is being refreshed after a pause.
        """
        with self._in_flight_counter:
            self.node.check_for_pause()
            if not self.node.state_fresh.is_set():
                # The request may have waited here past its deadline during the pause.
                return self._not_run_reply(request, RefusalReason.NOT_READY)
            result = await self._dispatcher.submit(
                ShardRequest(
                    request.request_id,
                    request.family,
                    ANY_VERSION,
                    request.body.encode(),
                    request.shard,
                    self._slot_limit(request.slots),
                    request.connections,
                    self._searcher_deadline(request.remaining_ms),
                    self.node.published.rules.rules.policy(request.family),
                )
            )
            status, detail = _submit_status(result)
            envelope = self.node.peers.envelope()
            return SubmitReply(envelope, request.request_id, status, detail)

    def _not_run_reply(
        self, request: SubmitRequest, reason: RefusalReason
    ) -> SubmitReply:
        return SubmitReply(
            self.node.peers.envelope(),
            request.request_id,
            SubmitStatus.NOT_RUN,
            reason,
        )

    def _searcher_deadline(self, remaining_ms: float) -> float:
        remaining = timedelta(milliseconds=remaining_ms)
        # Leaves time for the reply to reach the entry and be merged there.
        remaining -= max(MIN_REPLY_MARGIN, REPLY_MARGIN_FRACTION * remaining)
        return self.node.clock.monotonic() + remaining.total_seconds()

    def _slot_limit(self, slots: int) -> int:
        settings = self.node.settings.gather
        return max(1, math.ceil(slots * settings.slot_share)) + settings.in_transit

    def _on_published(self, name: PublicationName) -> None:
        if name is PublicationName.HOSTS:
            hosts = self.node.published.hosts.value
            self._searchers.update_listed_leaving(hosts.leaving_searchers)

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL.total_seconds())
            self._searchers.refresh_leaving()
            self._dispatcher.assign_free_slots()
            await self._dispatcher.check_health()


def _submit_status(result: AttemptResult) -> tuple[SubmitStatus, str]:
    match result:
        case Answered(receipt=receipt):
            return SubmitStatus.RAN, receipt
        case NotSent():
            return SubmitStatus.NOT_RUN, RefusalReason.NO_SEARCHER
        case Shed() | VersionGone():
            return SubmitStatus.NOT_RUN, RefusalReason.SHED
        case _:
            # The reply carries the class name, so renaming the class changes it.
            return SubmitStatus.UNKNOWN, type(result).__name__

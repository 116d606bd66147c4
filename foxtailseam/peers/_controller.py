"""Exchanges soft state with peers and pulls what is newer there."""

import asyncio
import random
from datetime import timedelta

from foxtailseam.clocks import Clock, HybridClock
from foxtailseam.configuration import Revision
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.peers._identity import Identity
from foxtailseam.peers._published import PublishedState
from foxtailseam.peers._table import PeerEvent, PeerTable
from foxtailseam.publications import Publication, PublicationName, PublicationStore
from foxtailseam.quarantine import (
    QuarantineController,
    SuspicionNotice,
    SuspicionState,
)
from foxtailseam.rpc import (
    CallError,
    Envelope,
    ExchangeReply,
    ExchangeRequest,
    PeerChannels,
    PullReply,
    PullRequest,
)
from foxtailseam.searchers import LeavingNotice, LeavingSearchers
from foxtailseam.settings import PeerSettings
from foxtailseam.timeline import Recorder

PROBE_TIMEOUT = timedelta(milliseconds=100)


class PeerController:
    """One process's side of the exchange; used from one event loop.

    In each round a few random peers are asked. Every message carries the
    sender's revisions, and whoever is behind pulls the difference. News is
    passed on at once.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : PeerSettings
        Intervals and bounds.
    published : PublishedState
        Values to keep level with the peers'.
    quarantine : QuarantineController
        Suspicions to keep level with the peers'.
    leaving : LeavingSearchers
        Drain signals to keep level with the peers'.
    table : PeerTable
        States of the peers.
    clock : Clock
        Source of monotonic time.
    hybrid : HybridClock
        Stamps messages.
    recorder : Recorder
        Where news is reported.
    metrics : Metrics
        Counts messages.
    """

    def __init__(
        self,
        identity: Identity,
        settings: PeerSettings,
        published: PublishedState,
        quarantine: QuarantineController,
        leaving: LeavingSearchers,
        table: PeerTable,
        clock: Clock,
        hybrid: HybridClock,
        recorder: Recorder,
        metrics: Metrics,
    ):
        self.identity = identity
        self.settings = settings
        self.published = published
        self.quarantine = quarantine
        self.leaving = leaving
        self.table = table
        self.clock = clock
        self.hybrid = hybrid
        self.recorder = recorder
        self.metrics = metrics
        self._channels = PeerChannels(self.heard)
        self._draining = False
        self._pulling: set[str] = set()
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def channels(self) -> PeerChannels:
        """Return the channels to the peers."""
        return self._channels

    def start(self) -> None:
        """Begin the rounds; to be called in the event loop."""
        self.published.add_listener(self._adopted)
        self._spawn(self._rounds())

    def stop(self) -> None:
        """End the rounds and close the channels."""
        for task in list(self._tasks):
            task.cancel()
        self._channels.close()

    def drain(self) -> None:
        """Tell the peers that this process is leaving."""
        self._draining = True
        self.exchange_now()

    def envelope(self) -> Envelope:
        """Return the state that rides on each message."""
        published = self.published
        return Envelope(
            stamp=self.hybrid.tick(),
            sender=self.identity.address,
            incarnation=self.identity.incarnation,
            draining=self._draining,
            rules=published.rules.revision,
            snapshots=published.snapshots.revision,
            hosts=published.hosts.revision,
        )

    def heard(self, envelope: Envelope) -> None:
        """Take note of a sender's state, and pull what it has newer."""
        self.hybrid.receive(envelope.stamp)
        event = PeerEvent.SAID_DRAINING if envelope.draining else PeerEvent.HEARD
        self.table.apply(envelope.sender, event)
        if self._is_behind(envelope) and envelope.sender not in self._pulling:
            self._pulling.add(envelope.sender)
            self._spawn(self._pull_from(envelope.sender))

    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Answer a peer's round."""
        self.metrics.add("exchanges_answered")
        self._learn(request)
        return ExchangeReply(self.envelope(), *self._notices())

    async def pull(self, request: PullRequest) -> PullReply:
        """Return what a peer lacks."""
        self.metrics.add("pulls_answered")
        theirs = request.envelope
        published = self.published
        return PullReply(
            self.envelope(),
            published.rules.difference_since(theirs.rules),
            _newer(published.snapshots, theirs.snapshots),
            _newer(published.hosts, theirs.hosts),
        )

    async def exchange_with(self, peer: str, timeout: timedelta | None = None) -> bool:
        """Run one exchange; tell whether the peer replied."""
        request = ExchangeRequest(self.envelope(), *self._notices())
        self.metrics.add("exchanges_sent")
        bound = timeout or self.settings.timeout
        outcome = await self._channels.exchange(peer, request, bound)
        if outcome.is_err():
            sent = outcome.unwrap_err().sent
            event = PeerEvent.NO_REPLY if sent else PeerEvent.REFUSED
            self._channels.retire(peer)
            self.table.apply(peer, event)
            return False
        reply = outcome.unwrap()
        self._learn(reply)
        return True

    def handle_call_failure(self, error: CallError) -> None:
        """Take note of a call without reply.

        A call can miss its deadline under load, so the peer is suspect only if
        it does not answer an exchange either.
        """
        if not error.sent:
            self.table.apply(error.peer, PeerEvent.REFUSED)
        elif error.peer not in self._probing:
            self._probing.add(error.peer)
            self._spawn(self._probe(error.peer))

    async def _probe(self, peer: str) -> None:
        try:
            await self.exchange_with(peer, PROBE_TIMEOUT)
        finally:
            self._probing.discard(peer)

    async def pull_updates(self) -> bool:
        """Pull from seeds and some peers; tell whether any replied."""
        peers = {*self.settings.seeds, *self._choose(self.settings.fanout)}
        peers.discard(self.identity.address)
        replies = await asyncio.gather(*(self._pull_from(peer) for peer in peers))
        return any(replies)

    def exchange_now(self) -> None:
        """Exchange with some peers at once."""
        for peer in self._choose(self.settings.fanout):
            self._spawn(self.exchange_with(peer))

    def _adopted(self, name: PublicationName) -> None:
        if name is PublicationName.HOSTS:
            listed = frozenset(self.published.hosts.value.processes)
            self.table.forget_old(listed)
        self.exchange_now()

    async def _rounds(self) -> None:
        while True:
            await asyncio.sleep(self.settings.interval.total_seconds())
            peers = set(self._choose(self.settings.round_peers))
            # One that did not reply is asked again, so that a cut heals soon.
            suspects = self.table.suspects
            if suspects:
                peers.add(random.choice(suspects))
            await asyncio.gather(*(self.exchange_with(peer) for peer in peers))

    def _choose(self, count: int) -> list[str]:
        listed = self.published.hosts.value.processes
        # One more than needed, in case this process is among them.
        chosen = random.sample(listed, min(len(listed), count + 1))
        others = [peer for peer in chosen if peer != self.identity.address]
        return others[:count]

    def _is_behind(self, envelope: Envelope) -> bool:
        published = self.published
        return (
            envelope.rules > published.rules.revision
            or envelope.snapshots > published.snapshots.revision
            or envelope.hosts > published.hosts.revision
        )

    async def _pull_from(self, peer: str) -> bool:
        try:
            request = PullRequest(self.envelope())
            timeout = max(self.settings.timeout, timedelta(seconds=1))
            outcome = await self._channels.pull(peer, request, timeout)
        finally:
            self._pulling.discard(peer)
        if outcome.is_err():
            return False
        reply = outcome.unwrap()
        if reply.rules is not None:
            self.published.merge_rules(reply.rules)
        for publication in (reply.snapshots, reply.hosts):
            if publication is not None:
                self.published.offer(publication)
        return True

    def _notices(
        self,
    ) -> tuple[tuple[SuspicionNotice, ...], tuple[LeavingNotice, ...]]:
        return self.quarantine.notices(), self.leaving.notices()

    def _learn(self, message: ExchangeRequest | ExchangeReply) -> None:
        news = self.quarantine.merge(message.suspicions)
        for notice in news:
            if notice.state is SuspicionState.QUARANTINED:
                fingerprint = notice.fingerprint
                self.recorder.record(EventCode.QUARANTINED, fingerprint=fingerprint)
        is_leaving_news = self.leaving.merge(message.leaving)
        if news or is_leaving_news:
            self.exchange_now()

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _newer(store: PublicationStore, theirs: Revision) -> Publication | None:
    return store.publication if store.revision > theirs else None

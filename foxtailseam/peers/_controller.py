"""Exchanges soft state with peers and pulls newer published values from them."""

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
    """Runs the gossip protocol of one process; must be used from one event loop.

    In each round, the process exchanges state with a few random peers. Each
    message carries the revisions of its sender, and a receiver with an older
    revision pulls the difference. Changes of state start an exchange immediately.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    settings : PeerSettings
        Intervals, timeouts and numbers of peers.
    published : PublishedState
        Published values to synchronize with the peers.
    quarantine : QuarantineController
        Suspicions to synchronize with the peers.
    leaving : LeavingSearchers
        Drain signals of searchers to synchronize with the peers.
    table : PeerTable
        States of the peers.
    clock : Clock
        Source of monotonic time.
    hybrid_clock : HybridClock
        Source of the timestamps of messages.
    recorder : Recorder
        Records newly quarantined requests.
    metrics : Metrics
        Counts exchanges and pulls.
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
        hybrid_clock: HybridClock,
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
        self.hybrid_clock = hybrid_clock
        self.recorder = recorder
        self.metrics = metrics
        self._channels = PeerChannels(self.handle_envelope)
        self._draining = False
        self._pulling: set[str] = set()
        self._probing: set[str] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def channels(self) -> PeerChannels:
        """Return the RPC channels to the peers."""
        return self._channels

    def start(self) -> None:
        """Start the rounds of exchanges; must be called from the event loop."""
        self.published.add_listener(self._on_adopted)
        self._start_task(self._run_rounds())

    def stop(self) -> None:
        """Stop all exchanges and close the channels."""
        for task in list(self._tasks):
            task.cancel()
        self._channels.close()

    def drain(self) -> None:
        """Announce to the peers that this process is draining."""
        self._draining = True
        self.exchange_now()

    def envelope(self) -> Envelope:
        """Return the state of this process that each message carries."""
        published = self.published
        return Envelope(
            stamp=self.hybrid_clock.tick(),
            sender=self.identity.address,
            incarnation=self.identity.incarnation,
            draining=self._draining,
            rules=published.rules.revision,
            snapshots=published.snapshots.revision,
            hosts=published.hosts.revision,
        )

    def handle_envelope(self, envelope: Envelope) -> None:
        """Process the envelope of a received message.

        Updates the hybrid clock and the state of the sender, and starts a pull if
        the sender has a newer revision.

        Parameters
        ----------
        envelope : Envelope
            State of the sender.
        """
        self.hybrid_clock.receive(envelope.stamp)
        event = (
            PeerEvent.DRAINING_ANNOUNCED
            if envelope.draining
            else PeerEvent.MESSAGE_RECEIVED
        )
        self.table.apply(envelope.sender, event)
        if self._has_newer_revision(envelope) and envelope.sender not in self._pulling:
            self._pulling.add(envelope.sender)
            self._start_task(self._pull_from(envelope.sender))

    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Merge the notices of a peer and reply with those of this process.

        Parameters
        ----------
        request : ExchangeRequest
            Suspicions and drain signals that the peer knows of.

        Returns
        -------
        ExchangeReply
            Suspicions and drain signals that this process knows of.
        """
        self.metrics.add("exchanges_answered")
        self._merge_notices(request)
        return ExchangeReply(self.envelope(), *self._notices())

    async def pull(self, request: PullRequest) -> PullReply:
        """Return the published values that are newer than those of a peer.

        Parameters
        ----------
        request : PullRequest
            Its envelope names the peer's revisions.

        Returns
        -------
        PullReply
            A difference of the rules and the full text of other values; None for
            each value that is not newer.
        """
        self.metrics.add("pulls_answered")
        peer_revisions = request.envelope
        published = self.published
        return PullReply(
            self.envelope(),
            published.rules.difference_since(peer_revisions.rules),
            _newer_publication(published.snapshots, peer_revisions.snapshots),
            _newer_publication(published.hosts, peer_revisions.hosts),
        )

    async def exchange_with(self, peer: str, timeout: timedelta | None = None) -> bool:
        """Exchange state with a peer and update the state of the peer.

        Parameters
        ----------
        peer : str
            ``IP:PORT`` of the peer.
        timeout : timedelta, optional
            Timeout of the call; by default that of the settings.

        Returns
        -------
        bool
            Whether the peer replied.
        """
        request = ExchangeRequest(self.envelope(), *self._notices())
        self.metrics.add("exchanges_sent")
        effective_timeout = timeout or self.settings.timeout
        result = await self._channels.exchange(peer, request, effective_timeout)
        if result.is_err():
            sent = result.unwrap_err().sent
            event = PeerEvent.NO_REPLY if sent else PeerEvent.CONNECT_FAILED
            self._channels.retire(peer)
            self.table.apply(peer, event)
            return False
        reply = result.unwrap()
        self._merge_notices(reply)
        return True

    def handle_call_failure(self, error: CallError) -> None:
        """Update the state of a peer after a call that got no reply.

        If the request was not sent, the peer becomes suspect. A call that was
        sent can time out under load, so then the peer becomes suspect only if it
        does not reply to an exchange either.

        Parameters
        ----------
        error : CallError
            The failed call.
        """
        if not error.sent:
            self.table.apply(error.peer, PeerEvent.CONNECT_FAILED)
        elif error.peer not in self._probing:
            self._probing.add(error.peer)
            self._start_task(self._probe(error.peer))

    async def _probe(self, peer: str) -> None:
        try:
            await self.exchange_with(peer, PROBE_TIMEOUT)
        finally:
            self._probing.discard(peer)

    async def pull_updates(self) -> bool:
        """Pull newer published values from the seeds and some random peers.

        Returns
        -------
        bool
            Whether any peer replied.
        """
        peers = {*self.settings.seeds, *self._sample_peers(self.settings.fanout)}
        peers.discard(self.identity.address)
        replies = await asyncio.gather(*(self._pull_from(peer) for peer in peers))
        return any(replies)

    def exchange_now(self) -> None:
        """Exchange state with some random peers without waiting for the next round."""
        for peer in self._sample_peers(self.settings.fanout):
            self._start_task(self.exchange_with(peer))

    def _on_adopted(self, name: PublicationName) -> None:
        if name is PublicationName.HOSTS:
            listed = frozenset(self.published.hosts.value.processes)
            self.table.remove_unlisted(listed)
        self.exchange_now()

    async def _run_rounds(self) -> None:
        while True:
            await asyncio.sleep(self.settings.interval.total_seconds())
            peers = set(self._sample_peers(self.settings.round_peers))
            # Retry one suspect peer in each round, so that peers become alive again
            # soon after a network partition ends.
            suspects = self.table.suspects
            if suspects:
                peers.add(random.choice(suspects))
            await asyncio.gather(*(self.exchange_with(peer) for peer in peers))

    def _sample_peers(self, count: int) -> list[str]:
        listed = self.published.hosts.value.processes
        # Sample one more than needed, in case this process is among them.
        chosen = random.sample(listed, min(len(listed), count + 1))
        others = [peer for peer in chosen if peer != self.identity.address]
        return others[:count]

    def _has_newer_revision(self, envelope: Envelope) -> bool:
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
            result = await self._channels.pull(peer, request, timeout)
        finally:
            self._pulling.discard(peer)
        if result.is_err():
            return False
        reply = result.unwrap()
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

    def _merge_notices(self, message: ExchangeRequest | ExchangeReply) -> None:
        new_notices = self.quarantine.merge(message.suspicions)
        for notice in new_notices:
            if notice.state is SuspicionState.QUARANTINED:
                fingerprint = notice.fingerprint
                self.recorder.record(EventCode.QUARANTINED, fingerprint=fingerprint)
        has_new_leaving = self.leaving.merge(message.leaving)
        if new_notices or has_new_leaving:
            self.exchange_now()

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _newer_publication(
    store: PublicationStore, peer_revision: Revision
) -> Publication | None:
    return store.publication if store.revision > peer_revision else None

"""Keeps the replica of the configuration service on each host in sync."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable

from foxtailseam.catalogue import Catalogue
from foxtailseam.clocks import Clock
from foxtailseam.conditions import ConditionRegistry
from foxtailseam.delegation import DeclinedCall, DelegatedCall
from foxtailseam.fleet._following import Following
from foxtailseam.fleet._gossip import Gossip
from foxtailseam.fleet._gossip_loop import GossipLoop
from foxtailseam.fleet._host_record import HostRecord
from foxtailseam.fleet._membership import Membership
from foxtailseam.fleet._messages import FollowRequest, FollowUpdate, MemberExchange
from foxtailseam.fleet._relay import Relay
from foxtailseam.fleet._settings import FleetSettings
from foxtailseam.fleet._state_exchange import StateExchange
from foxtailseam.fleet._tree import TreePosition, compute_position
from foxtailseam.forwarding import (
    ForwardedRequest,
    ForwardedResponse,
    PeerHost,
    Unavailability,
)
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.quarantine import QuarantineController
from foxtailseam.store import StoreFollower, StoreReplica
from foxtailseam.supervision import Supervisor
from foxtailseam.utils import shorten

# Interval between checks of whom to follow and whether to read the service.
TICK_SECONDS = 0.25


class FleetController:
    """Keeps a replica of the configuration service in sync on one host.

    The host either reads the service itself or follows other hosts that relay its
    changes. It also gossips about members and about requests that crash searchers.

    Parameters
    ----------
    own_record : HostRecord
        Initial record of this host.
    seeds : tuple of str
        ``IP:PORT`` of some hosts, used to join; may be out of date.
    replica : StoreReplica
        Replica to keep in sync.
    follower : StoreFollower
        Reads the service into `replica`; runs only while this host is a reader.
    catalogue : Catalogue
        Searcher catalogue; hosts share its grace period for lapsed entries.
    clock : Clock
        Source of monotonic time.
    settings : FleetSettings
        Intervals and timeouts.
    log : LogWriter
        Log for changes of the sources of `replica` and for failed calls.
    generator : random.Random
        Chooses hosts and adds jitter to intervals.
    on_members : callable
        Called with the addresses of the alive hosts when the membership changes.
    quarantine : QuarantineController
        Suspicion states of requests, which the hosts share.
    conditions : ConditionRegistry
        Conditions of searchers, which the hosts share.
    metrics : Metrics
        Registry of the counters of bytes sent to other hosts, by kind of message and
        by whether these are in the failure domain of this host (near) or not (far).
    supervisor : Supervisor
        Runs the background tasks.
    """

    def __init__(
        self,
        own_record: HostRecord,
        seeds: tuple[str, ...],
        replica: StoreReplica,
        follower: StoreFollower,
        catalogue: Catalogue,
        clock: Clock,
        settings: FleetSettings,
        log: LogWriter,
        generator: random.Random,
        on_members: Callable[[frozenset[str]], None],
        quarantine: QuarantineController,
        conditions: ConditionRegistry,
        metrics: Metrics,
        supervisor: Supervisor,
    ):
        self.seeds = seeds
        self.replica = replica
        self.follower = follower
        self.catalogue = catalogue
        self.clock = clock
        self.settings = settings
        self.log = log
        self.generator = generator
        self.on_members = on_members
        self.metrics = metrics
        self.supervisor = supervisor
        self.membership = Membership(own_record, clock, generator)
        # Serves a forwarded request; returns what cancels it.
        self.serve_forwarded: Callable[
            [ForwardedRequest, Callable[[ForwardedResponse], None]],
            Callable[[], None],
        ] = _refuse_forwarded
        # Serves a delegated query.
        self.serve_delegated: Callable[
            [ForwardedRequest, Callable[[ForwardedResponse], None]], DelegatedCall
        ] = _refuse_delegated
        self._peer_hosts: tuple[PeerHost, ...] = ()
        self._gossip = Gossip(
            self.membership,
            quarantine,
            conditions,
            self._update_position,
            self.gossip_now,
        )
        self._gossip_loop = GossipLoop(
            self._gossip, lambda: self.seeds, settings, log, generator, supervisor
        )
        self._relay = Relay(
            replica, catalogue, settings.update_interval, lambda: self.age, clock
        )
        self._position = TreePosition(True, ())
        self._following = Following(
            self.membership,
            replica,
            catalogue,
            self._relay,
            settings,
            log,
            generator,
            self._on_parent_lost,
            supervisor,
        )
        self._read_task: asyncio.Task | None = None
        self._read_until = float("-inf")
        # Members and preferred hosts from which the position was computed.
        self._position_inputs: tuple[frozenset[str], tuple[str, ...]] = (
            frozenset(),
            (),
        )
        self._tasks: set[asyncio.Task] = set()
        self._stop_server = None
        self._started_at = clock.monotonic()

    @property
    def age(self) -> float:
        """Return the seconds since the replica was last known to be in sync.

        At least 1 000 000 if it never was.
        """
        return min(self.follower.age, self._following.age)

    @property
    def state_exchange(self) -> StateExchange:
        """Return the sources of state that the hosts share by gossip."""
        return self._gossip.state_exchange

    @property
    def peer_hosts(self) -> tuple[PeerHost, ...]:
        """Return the other alive hosts, as of the last change of the members."""
        return self._peer_hosts

    @property
    def is_reading(self) -> bool:
        """Return whether this host currently reads the configuration service."""
        return self._read_task is not None

    @property
    def change_source(self) -> str:
        """Return who sent the changes that are being applied to the replica.

        ``service`` or the address of the host that relays them.
        """
        return self._following.relaying_peer or "service"

    async def start(self) -> None:
        """Start to read or follow, to serve other hosts and to gossip."""
        # The import of grpclib is a noticeable part of the startup time, so the first
        # read of the service is started before it.
        self._update_read_task()
        await asyncio.sleep(0)
        # A package that is missing fails the start.
        from foxtailseam.fleet import _rpc

        address = self.membership.own_record.address

        async def serve_hosts() -> None:
            self._stop_server = await _rpc.serve(
                address,
                self,
                self._count_sent,
                self.settings.peer_limits,
                self.clock,
                self._count_closed,
            )

        work = {
            # While the address is taken, the host serves callers without the others.
            f"listen on {address}": serve_hosts,
            "choose sources": self._tick_loop,
            "gossip": self._gossip_loop.run,
            "join seeds": self._gossip_loop.run_seeds,
        }
        for name, run in work.items():
            self._tasks.add(self.supervisor.start(name, run))

    async def leave(self) -> None:
        """Notify up to 4 hosts that this one leaves, so that they stop following it."""
        self.membership.mark_leaving()
        await self._gossip_loop.exchange_with_some()

    async def stop(self) -> None:
        """Cancel all background tasks and stop the server."""
        for task in self._tasks:
            task.cancel()
        self._following.stop()
        self._gossip_loop.stop()
        if self._read_task is not None:
            self._read_task.cancel()
        if self._stop_server is not None:
            await self._stop_server()

    def notify_followers(self) -> None:
        """Send an update to all followers without waiting for the update interval."""
        self._relay.notify()

    def gossip_now(self) -> None:
        """Exchange with a few random hosts soon; they do the same if it is news."""
        self._gossip_loop.exchange_soon()

    # Calls from other hosts.

    def exchange(self, message: MemberExchange) -> MemberExchange:
        """Merge the message of another host; return this host's own message."""
        return self._gossip.respond(message)

    def follow(self, request: FollowRequest) -> AsyncIterator[FollowUpdate]:
        """Yield updates to a host that follows this one, without end.

        Parameters
        ----------
        request : FollowRequest
            Record of the follower and the position that it has.
        """
        self.membership.mark_reached(request.sender)
        return self._relay.updates(request)

    async def forward(self, request: ForwardedRequest) -> ForwardedResponse:
        """Serve a request that another host has forwarded.

        Parameters
        ----------
        request : ForwardedRequest
            Request to serve; cancelled if the other host cancels the call.
        """
        result: asyncio.Future[ForwardedResponse] = asyncio.Future()

        def finish(response: ForwardedResponse) -> None:
            if not result.done():
                result.set_result(response)

        cancel = self.serve_forwarded(request, finish)
        try:
            return await result
        except asyncio.CancelledError:
            cancel()
            raise

    def delegate(
        self, request: ForwardedRequest, done: Callable[[ForwardedResponse], None]
    ) -> DelegatedCall:
        """Serve a query that another host has delegated.

        Parameters
        ----------
        request : ForwardedRequest
            The query.
        done : callable
            Called once with the response, unless the query is cancelled first.
        """
        return self.serve_delegated(request, done)

    def refuse(self, problem: str) -> None:
        """Handle that a message was malformed; its call has ended."""
        self.metrics.add("peer_messages_refused")
        self.log.write(EventCode.PEER_MESSAGE_REFUSED, problem=shorten(problem))

    def _count_sent(self, kind: str, failure_domain: str, size: int) -> None:
        is_near = failure_domain == self.membership.own_record.failure_domain
        place = "near" if is_near else "far"
        self.metrics.add(f"bytes_{kind}_{place}", size)

    def _count_closed(self) -> None:
        self.metrics.add("peer_connections_closed")

    # Following.

    def _update_position(self) -> None:
        members = self.membership.addresses
        first = () if self._is_settled() else self.seeds
        if (members, first) != self._position_inputs:
            has_changed = members != self._position_inputs[0]
            self._position_inputs = (members, first)
            self._position = compute_position(
                self.membership.own_record.address, members, first
            )
            if has_changed:
                self._peer_hosts = tuple(
                    PeerHost(
                        record.address, record.failure_domain, record.shard_call_rate
                    )
                    for record in self.membership.alive[1:]
                )
                self.on_members(members)
        self._following.follow(self._position.parents, members, self.age)

    def _on_parent_lost(self, address: str) -> None:
        self._gossip.fail(address)
        self._update_read_task()

    # Reading.

    async def _tick_loop(self) -> None:
        while True:
            self._update_position()
            self._update_read_task()
            await asyncio.sleep(TICK_SECONDS)

    def _update_read_task(self) -> None:
        now = self.clock.monotonic()
        # Hosts of an earlier release relay no orders, so they do not suffice.
        max_age = self.settings.max_staleness.total_seconds()
        is_fresh = self._following.orders_age < max_age
        is_reader = self._is_reader()
        if is_reader or not (is_fresh or self._waits_for_others()):
            self._read_until = now + self.settings.read_hold_time.total_seconds()
        elif is_fresh and not self._is_settled():
            # The first listing was needed, but no further reads are.
            self._read_until = now
        must_read = now < self._read_until
        if must_read and self._read_task is None:
            self._read_task = self.supervisor.start("read", self.follower.run)
            reason = "position" if is_reader else "no up-to-date parent"
            self.log.write(EventCode.READING_STARTED, reason=reason)
        elif not must_read and self._read_task is not None:
            self._read_task.cancel()
            self._read_task = None
            self.log.write(EventCode.READING_STOPPED)

    def _is_reader(self) -> bool:
        """Return whether this host reads the service for others.

        Soon after the start the members are not known well enough to go by the tree:
        the seeds read then.
        """
        if self._is_settled():
            return self._position.is_reader
        return self._is_seed() and (
            self._read_task is not None or self._is_joint_start()
        )

    def _is_joint_start(self) -> bool:
        return bool(self.settings.start_patience)

    def _is_settled(self) -> bool:
        settings = self.settings
        elapsed = self.clock.monotonic() - self._started_at
        if elapsed >= settings.settle_time.total_seconds():
            return True
        is_early = elapsed < settings.settle_time.total_seconds() / 2
        return self._gossip.is_converged and not is_early

    def _is_seed(self) -> bool:
        return self.membership.own_record.address in self.seeds or not self.seeds

    def _waits_for_others(self) -> bool:
        """Return whether this host expects a copy from others after a joint start."""
        elapsed = self.clock.monotonic() - self._started_at
        patience = self.settings.start_patience.total_seconds()
        return not self._is_seed() and elapsed < patience


def _refuse_delegated(
    request: ForwardedRequest, done: Callable[[ForwardedResponse], None]
) -> DelegatedCall:
    _refuse_forwarded(request, done)
    return DeclinedCall()


def _refuse_forwarded(
    _request: ForwardedRequest, done: Callable[[ForwardedResponse], None]
) -> Callable[[], None]:
    done(ForwardedResponse(unavailable=Unavailability.UNSUPPORTED))
    return lambda: None

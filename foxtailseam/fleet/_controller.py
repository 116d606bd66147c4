"""Keeps the replica of the configuration service on each host in sync."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from foxtailseam.catalogue import Catalogue
from foxtailseam.clocks import Clock
from foxtailseam.conditions import ConditionRegistry
from foxtailseam.fleet._membership import HostRecord, Membership
from foxtailseam.fleet._messages import (
    FollowRequest,
    FollowUpdate,
    MemberExchange,
    WireChange,
    compress_changes,
)
from foxtailseam.fleet._tree import TreePosition, compute_position
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.quarantine import QuarantineController
from foxtailseam.store import Item, Listing, Position, StoreFollower, StoreReplica

# Age sent to followers by a host that was never in sync, in milliseconds.
UNKNOWN_AGE_MS = 1_000_000_000
# Interval between checks of whom to follow and whether to read the service.
TICK_SECONDS = 0.25
# Number of hosts to which a new quarantine notice is sent at once.
GOSSIP_FANOUT = 4
# Fewer changes than this are sent as they are.
MIN_COMPRESSED_CHANGES = 4


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Intervals and timeouts of gossip and of the replication between hosts.

    Parameters
    ----------
    exchange_interval : timedelta
        Mean pause between two gossip exchanges with a random host.
    seed_interval : timedelta
        Mean pause between two rounds of exchanges with the seeds that are not known
        as members; an eighth of it while no other host is known. These exchanges
        join groups of hosts that do not know of each other.
    update_interval : timedelta
        Longest time between two updates that a host sends to a follower.
    update_timeout : timedelta
        Time without an update after which a followed host counts as failed.
    timeout : timedelta
        Timeout of a call, and of opening a connection.
    max_staleness : timedelta
        Age of the updates from other hosts above which this host reads the
        configuration service itself.
    read_hold_time : timedelta
        How long this host keeps reading the service after other hosts send recent
        updates again.
    """

    exchange_interval: timedelta = timedelta(milliseconds=1500)
    seed_interval: timedelta = timedelta(seconds=4)
    update_interval: timedelta = timedelta(milliseconds=500)
    update_timeout: timedelta = timedelta(milliseconds=1400)
    timeout: timedelta = timedelta(milliseconds=500)
    max_staleness: timedelta = timedelta(milliseconds=1400)
    read_hold_time: timedelta = timedelta(seconds=2)


@dataclass(slots=True)
class _Parent:
    task: asyncio.Task
    age: float = float("inf")
    updated_at: float = float("-inf")


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
        self.quarantine = quarantine
        self.conditions = conditions
        self.membership = Membership(own_record, clock, generator)
        self._position = TreePosition(True, ())
        self._parents: dict[str, _Parent] = {}
        self._read_task: asyncio.Task | None = None
        self._read_until = float("-inf")
        self._member_addresses: frozenset[str] = frozenset()
        self._extra_parent: str | None = None
        self._extra_parent_until = float("-inf")
        self._tasks: set[asyncio.Task] = set()
        self._gossip_tasks: set[asyncio.Task] = set()
        self._changed = asyncio.Event()
        self._stop_server = None
        self._relaying_peer: str | None = None
        # The changes that were compressed last, and the result.
        self._uncompressed_changes: tuple[WireChange, ...] = ()
        self._compressed_changes = b""

    @property
    def age(self) -> float:
        """Return the seconds since the replica was last known to be in sync.

        At least 1 000 000 if it never was.
        """
        return min(self.follower.age, self._followed_age())

    @property
    def is_reading(self) -> bool:
        """Return whether this host currently reads the configuration service."""
        return self._read_task is not None

    @property
    def change_source(self) -> str:
        """Return who sent the changes that are being applied to the replica.

        ``service`` or the address of the host that relays them.
        """
        return self._relaying_peer or "service"

    async def start(self) -> None:
        """Start to read or follow, to serve other hosts and to gossip."""
        # The import of grpclib is a noticeable part of the startup time, so the first
        # read of the service is started before it.
        self._update_read_task()
        await asyncio.sleep(0)
        from foxtailseam.fleet import _rpc

        self._rpc = _rpc
        self._stop_server = await _rpc.serve(self.membership.own_record.address, self)
        self._spawn(self._tick_loop())
        self._spawn(self._exchange_loop())
        self._spawn(self._seed_loop())

    async def leave(self) -> None:
        """Notify up to 4 hosts that this one leaves, so that they stop following it."""
        self.membership.mark_leaving()
        addresses = [record.address for record in self.membership.alive[1:]]
        self.generator.shuffle(addresses)
        await asyncio.gather(*(self._exchange(address) for address in addresses[:4]))

    async def stop(self) -> None:
        """Cancel all background tasks and stop the server."""
        for task in (
            *self._tasks,
            *self._gossip_tasks,
            *(parent.task for parent in self._parents.values()),
        ):
            task.cancel()
        if self._read_task is not None:
            self._read_task.cancel()
        if self._stop_server is not None:
            await self._stop_server()

    def raise_task_errors(self) -> None:
        """Re-raise the exception of a background task that failed, if there is one."""
        for task in (*self._tasks, self._read_task):
            if task is not None and task.done() and not task.cancelled():
                task.result()

    def notify_followers(self) -> None:
        """Send an update to all followers without waiting for the update interval."""
        self._changed.set()
        self._changed = asyncio.Event()

    def gossip_now(self) -> None:
        """Start exchanges with up to `GOSSIP_FANOUT` random hosts.

        A host that gets a new notice for its quarantine does the same.
        """
        others = [record.address for record in self.membership.alive[1:]]
        chosen = self.generator.sample(others, min(GOSSIP_FANOUT, len(others)))
        for address in chosen:
            task = asyncio.create_task(self._exchange(address))
            self._gossip_tasks.add(task)
            task.add_done_callback(self._gossip_tasks.discard)

    # Calls from other hosts.

    def exchange(self, message: MemberExchange) -> MemberExchange:
        """Merge the message of another host; return this host's own message."""
        self._merge_exchange(message)
        return self._build_exchange()

    async def follow(self, request: FollowRequest) -> AsyncIterator[FollowUpdate]:
        """Yield updates to a host that follows this one, without end.

        Parameters
        ----------
        request : FollowRequest
            Record of the follower and the position that it has.
        """
        self._merge_records((request.sender,))
        sent = request.position
        is_first = True
        while True:
            update = self._build_update(sent, is_first)
            if request.accepts_compressed:
                update = self._compressed(update)
            yield update
            if update.revision:
                sent = max(sent, update.position)
                is_first = False
            changed = self._changed
            if self.replica.position > sent:
                continue
            try:
                seconds = self.settings.update_interval.total_seconds()
                async with asyncio.timeout(seconds):
                    await changed.wait()
            except TimeoutError:
                # No change: the next update only carries the age.
                continue

    def _build_update(self, sent: Position, is_first: bool) -> FollowUpdate:
        position = self.replica.position
        changes, is_listing = self.replica.changes_for(sent, is_first)
        age = self.age
        age_ms = UNKNOWN_AGE_MS if age == float("inf") else int(age * 1000)
        return FollowUpdate(
            tuple(map(WireChange.from_change, changes)),
            position.revision,
            is_listing,
            min(UNKNOWN_AGE_MS, age_ms),
            int(self.catalogue.remaining_grace * 1000),
            era=position.era,
        )

    def _compressed(self, update: FollowUpdate) -> FollowUpdate:
        if len(update.changes) < MIN_COMPRESSED_CHANGES:
            return update
        # Most followers have the same revision and get the same changes.
        if self._uncompressed_changes != update.changes:
            self._uncompressed_changes = update.changes
            self._compressed_changes = compress_changes(update.changes)
        return replace(update, changes=(), compressed_changes=self._compressed_changes)

    # Membership.

    async def _exchange_loop(self) -> None:
        while True:
            await self._sleep_with_jitter(self.settings.exchange_interval)
            self.membership.increment_heartbeat()
            self.membership.remove_expired()
            address = self.membership.random_peer()
            if address is not None:
                await self._exchange(address)

    async def _seed_loop(self) -> None:
        while True:
            known = self.membership.addresses
            unknown = [seed for seed in self.seeds if seed not in known]
            await asyncio.gather(*(self._exchange(seed) for seed in unknown))
            is_alone = len(self.membership.addresses) == 1
            interval = self.settings.seed_interval / (8 if is_alone else 1)
            await self._sleep_with_jitter(interval)

    async def _exchange(self, address: str) -> None:
        seconds = self.settings.timeout.total_seconds()
        channel = self._rpc.FleetChannel(address, seconds)
        try:
            reply = await channel.exchange(self._build_exchange(), seconds)
        except self._rpc.CALL_ERRORS as error:
            self.membership.mark_failed(address)
            self.log.write(
                EventCode.PEER_UNREACHABLE, peer=address, error=type(error).__name__
            )
        else:
            self._merge_exchange(reply)
        finally:
            channel.close()

    def _build_exchange(self) -> MemberExchange:
        conditions = self.conditions.notices()
        return MemberExchange(
            self.membership.gossip_records(),
            self.quarantine.notices(),
            conditions.limits,
            conditions.leaving,
            conditions.pauses,
        )

    def _merge_exchange(self, message: MemberExchange) -> None:
        self._merge_records(message.records)
        self.conditions.merge(message.conditions)
        if self.quarantine.merge(message.notices):
            self.gossip_now()

    def _merge_records(self, records: tuple[HostRecord, ...]) -> None:
        if self.membership.merge(records):
            self._update_position()

    # Following.

    def _update_position(self) -> None:
        members = self.membership.addresses
        if members != self._member_addresses:
            self._member_addresses = members
            self._position = compute_position(
                self.membership.own_record.address, members
            )
            self.on_members(members)
        wanted = {*self._position.parents, *self._extra_parents(members)}
        for address in list(self._parents):
            if address not in wanted:
                self._parents.pop(address).task.cancel()
        for address in wanted:
            if address not in self._parents:
                task = asyncio.create_task(self._follow_parent(address))
                self._parents[address] = _Parent(task)

    def _extra_parents(self, members: frozenset[str]) -> tuple[str, ...]:
        """Return a random host to follow in addition, if the replica is too old."""
        now = self.clock.monotonic()
        if self.age <= self.settings.max_staleness.total_seconds():
            return ()
        if now >= self._extra_parent_until:
            # Choose another host each time: the last one may be just as outdated.
            others = members - {self.membership.own_record.address}
            self._extra_parent = (
                self.generator.choice(sorted(others)) if others else None
            )
            self._extra_parent_until = (
                now + self.settings.update_timeout.total_seconds()
            )
        return (self._extra_parent,) if self._extra_parent in members else ()

    async def _follow_parent(self, address: str) -> None:
        while True:
            channel = self._rpc.FleetChannel(
                address, self.settings.timeout.total_seconds()
            )
            request = FollowRequest(
                self.membership.own_record,
                self.replica.position.revision,
                accepts_compressed=True,
                era=self.replica.position.era,
            )
            reason = "ended"
            try:
                update_timeout = self.settings.update_timeout.total_seconds()
                async for update in channel.follow(request, update_timeout):
                    self._apply_update(address, update)
            except self._rpc.CALL_ERRORS as error:
                reason = type(error).__name__
            finally:
                channel.close()
            self._on_parent_lost(address, reason)
            await self._sleep_with_jitter(self.settings.timeout)

    def _apply_update(self, address: str, update: FollowUpdate) -> None:
        parent = self._parents.get(address)
        if parent is None:
            return
        if update.revision and update.era < self.replica.position.era:
            self._on_outdated_parent(address, parent)
            return
        if parent.age == float("inf"):
            self.log.write(EventCode.FOLLOWING, peer=address, age_ms=update.age_ms)
        parent.age = update.age_ms / 1000
        parent.updated_at = self.clock.monotonic()
        if update.grace_ms:
            self.catalogue.extend_grace(timedelta(milliseconds=update.grace_ms))
        self._relaying_peer = address
        try:
            change_count = self._apply_changes(update)
        finally:
            self._relaying_peer = None
        if change_count:
            self.notify_followers()

    def _apply_changes(self, update: FollowUpdate) -> int:
        changes = [change.to_change(update.era) for change in update.changes]
        if update.is_listing:
            items = tuple(item for item in changes if isinstance(item, Item))
            return self.replica.apply_listing(Listing(items, update.position))
        return self.replica.apply(changes, update.position)

    def _on_outdated_parent(self, address: str, parent: _Parent) -> None:
        """Ignore a host that does not know of the service's latest era yet."""
        if parent.age != float("inf"):
            parent.age = float("inf")
            self.log.write(
                EventCode.FOLLOWING_LOST,
                peer=address,
                reason="older era",
                era=self.replica.position.era,
            )

    def _on_parent_lost(self, address: str, reason: str) -> None:
        parent = self._parents.get(address)
        if parent is not None and parent.age != float("inf"):
            parent.age = float("inf")
            self.log.write(EventCode.FOLLOWING_LOST, peer=address, reason=reason)
        self.membership.mark_failed(address)
        self._update_position()
        self._update_read_task()

    def _followed_age(self) -> float:
        now = self.clock.monotonic()
        ages = (
            parent.age + now - parent.updated_at for parent in self._parents.values()
        )
        return min(ages, default=float("inf"))

    # Reading.

    async def _tick_loop(self) -> None:
        while True:
            self._update_position()
            self._update_read_task()
            await asyncio.sleep(TICK_SECONDS)

    def _update_read_task(self) -> None:
        now = self.clock.monotonic()
        is_fresh = self._followed_age() < self.settings.max_staleness.total_seconds()
        if self._position.is_reader or not is_fresh:
            self._read_until = now + self.settings.read_hold_time.total_seconds()
        must_read = now < self._read_until
        if must_read and self._read_task is None:
            self._read_task = asyncio.create_task(self.follower.run())
            reason = "position" if self._position.is_reader else "no up-to-date parent"
            self.log.write(EventCode.READING_STARTED, reason=reason)
        elif not must_read and self._read_task is not None:
            self._read_task.cancel()
            self._read_task = None
            self.log.write(EventCode.READING_STOPPED)

    def _spawn(self, coroutine) -> None:
        self._tasks.add(asyncio.create_task(coroutine))

    async def _sleep_with_jitter(self, interval: timedelta) -> None:
        seconds = interval.total_seconds() * self.generator.uniform(0.7, 1.3)
        await asyncio.sleep(seconds)

"""Follows other hosts, which relay the configuration service's changes."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from foxtailseam.catalogue import Catalogue
from foxtailseam.fleet._membership import Membership
from foxtailseam.fleet._messages import FollowRequest, FollowUpdate
from foxtailseam.fleet._relay import Relay
from foxtailseam.fleet._settings import FleetSettings, jittered
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.store import Item, Listing, Position, StoreReplica
from foxtailseam.supervision import Supervisor


@dataclass(slots=True)
class _Parent:
    task: asyncio.Task
    age: float = float("inf")
    updated_at: float = float("-inf")
    # Whether it knows all orders up to its position.
    has_all_orders: bool = False

    def age_at(self, now: float) -> float:
        """Return the age of what this parent has sent, at a monotonic time."""
        return self.age + now - self.updated_at


class Following:
    """Keeps streams of updates from other hosts open and applies the updates.

    Parameters
    ----------
    membership : Membership
        Hosts that are known.
    replica : StoreReplica
        Replica that the updates are applied to.
    catalogue : Catalogue
        Searcher catalogue; hosts share its grace period for lapsed entries.
    relay : Relay
        Passes changes on to the hosts that follow this one.
    settings : FleetSettings
        Intervals and timeouts.
    log : LogWriter
        Log for hosts that are followed and lost.
    generator : random.Random
        Chooses extra hosts and adds jitter to intervals.
    on_lost : callable
        Called with the address of a followed host whose stream has ended.
    supervisor : Supervisor
        Runs a task for each followed host.
    """

    def __init__(
        self,
        membership: Membership,
        replica: StoreReplica,
        catalogue: Catalogue,
        relay: Relay,
        settings: FleetSettings,
        log: LogWriter,
        generator: random.Random,
        on_lost: Callable[[str], None],
        supervisor: Supervisor,
    ):
        self.membership = membership
        self.replica = replica
        self.catalogue = catalogue
        self.relay = relay
        self.settings = settings
        self.clock = membership.clock
        self.log = log
        self.generator = generator
        self.on_lost = on_lost
        self.supervisor = supervisor
        self._parents: dict[str, _Parent] = {}
        self._extra_parent: str | None = None
        self._extra_parent_until = float("-inf")
        self._relaying_peer: str | None = None

    @property
    def relaying_peer(self) -> str | None:
        """Return the host whose changes are being applied; None if there are none."""
        return self._relaying_peer

    def follow(
        self, addresses: Iterable[str], members: frozenset[str], replica_age: float
    ) -> None:
        """Follow hosts, and one more while the replica is too old.

        Parameters
        ----------
        addresses : iterable of str
            Addresses of the hosts to follow.
        members : frozenset of str
            Addresses of all alive hosts.
        replica_age : float
            Seconds since the replica was last known to be in sync.
        """
        wanted = {*addresses, *self._extra_parents(members, replica_age)}
        for address in wanted:
            if address not in self._parents:
                delay = self._listing_delay()
                task = self.supervisor.start(
                    f"follow {address}", partial(self._follow_parent, address, delay)
                )
                self._parents[address] = _Parent(task)
        self._drop_parents(wanted)

    def stop(self) -> None:
        """Stop following all hosts."""
        for parent in self._parents.values():
            parent.task.cancel()

    def _listing_delay(self) -> float:
        """Return the seconds to wait before following one more host.

        A host that has no copy yet asks one host for it before it asks another one.
        """
        has_parent = bool(self._parents)
        is_first_copy = self.replica.is_empty and has_parent
        return self.settings.timeout.total_seconds() if is_first_copy else 0.0

    def _drop_parents(self, wanted: set[str]) -> None:
        """Stop following hosts other than the wanted ones.

        While none of these has sent an update yet, the others are still followed, so
        that a change of the members does not leave this host without a source.
        """
        now = self.clock.monotonic()
        max_age = self.settings.max_staleness.total_seconds()
        if wanted and not any(
            self._parents[address].age_at(now) < max_age for address in wanted
        ):
            wanted = wanted | {
                address
                for address, parent in self._parents.items()
                if parent.age_at(now) < max_age
            }
        for address in list(self._parents):
            if address not in wanted:
                self._parents.pop(address).task.cancel()

    def _extra_parents(self, members: frozenset[str], age: float) -> tuple[str, ...]:
        """Return a random host to follow in addition, if the replica is too old."""
        now = self.clock.monotonic()
        if age <= self.settings.max_staleness.total_seconds():
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

    async def _follow_parent(self, address: str, delay: float) -> None:
        # Imported late, since it is a noticeable part of the startup time.
        from foxtailseam.fleet import _rpc

        await asyncio.sleep(delay)
        while True:
            channel = _rpc.FleetChannel(address, self.settings.timeout.total_seconds())
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
            except _rpc.CallError as error:
                reason = error.reason
            finally:
                channel.close()
            self._on_parent_lost(address, reason)
            await asyncio.sleep(jittered(self.settings.timeout, self.generator))

    def _apply_update(self, address: str, update: FollowUpdate) -> None:
        parent = self._parents.get(address)
        if parent is None:
            return
        if update.revision and update.era < self.replica.position.era:
            self._on_outdated_parent(address, parent)
            return
        if update.grace_ms:
            self.catalogue.extend_grace(timedelta(milliseconds=update.grace_ms))
        self._relaying_peer = address
        try:
            change_count = self._apply_changes(update)
        finally:
            self._relaying_peer = None
        if parent.age == float("inf"):
            self.log.write(EventCode.FOLLOWING, peer=address, age_ms=update.age_ms)
        parent.age = update.age_ms / 1000
        parent.has_all_orders = update.has_all_orders
        parent.updated_at = self.clock.monotonic()
        if change_count:
            self.relay.notify()
        elif parent.age < self.settings.max_staleness.total_seconds():
            self.relay.refresh()

    def _apply_changes(self, update: FollowUpdate) -> int:
        changes = [change.to_change(update.era) for change in update.changes]
        replica = self.replica
        # Of the era that is known the orders come first: they hold for the entries.
        change_count = self._apply_orders(update)
        if update.is_listing:
            items = tuple(item for item in changes if isinstance(item, Item))
            listing = Listing(items, update.position)
            change_count += replica.apply_listing(listing, has_orders=False)
        else:
            change_count += replica.apply(changes, update.position, has_orders=False)
        # A listing may have started their era.
        return change_count + self._apply_orders(update)

    def _apply_orders(self, update: FollowUpdate) -> int:
        if not update.orders_revision:
            return 0
        orders = [change.to_change(update.era) for change in update.orders]
        items = [item for item in orders if isinstance(item, Item)]
        position = Position(update.era, update.orders_revision)
        return self.replica.apply_orders(items, position)

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
        self.on_lost(address)

    @property
    def age(self) -> float:
        """Return the age of the newest data that a followed host has sent."""
        now = self.clock.monotonic()
        ages = (parent.age_at(now) for parent in self._parents.values())
        return min(ages, default=float("inf"))

    @property
    def orders_age(self) -> float:
        """Return the age of the newest data of a host that knows all orders."""
        now = self.clock.monotonic()
        return min(
            (
                parent.age_at(now)
                for parent in self._parents.values()
                if parent.has_all_orders
            ),
            default=float("inf"),
        )

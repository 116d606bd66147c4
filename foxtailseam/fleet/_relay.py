"""Relays the changes of the configuration service to the hosts that follow this one."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from datetime import timedelta

from foxtailseam.catalogue import Catalogue
from foxtailseam.clocks import Clock
from foxtailseam.fleet._messages import (
    FollowRequest,
    FollowUpdate,
    WireChange,
    compress_changes,
)
from foxtailseam.store import Position, StoreReplica

# Age sent to followers by a host that was never in sync, in milliseconds.
UNKNOWN_AGE_MS = 1_000_000_000
# Part of the update interval after which followers are told a newer age at once.
REFRESH_SHARE = 0.7
# Changes whose values have fewer bytes than this together are sent as they are.
MIN_COMPRESSED_BYTES = 1_000


class Relay:
    """Sends updates to followers: changes at once, else the age of the replica.

    Parameters
    ----------
    replica : StoreReplica
        Replica whose changes are sent.
    catalogue : Catalogue
        Searcher catalogue; hosts share its grace period for lapsed entries.
    update_interval : timedelta
        Longest time between two updates.
    age : callable
        Returns the seconds since the replica was last known to be in sync.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        replica: StoreReplica,
        catalogue: Catalogue,
        update_interval: timedelta,
        age: Callable[[], float],
        clock: Clock,
    ):
        self.replica = replica
        self.catalogue = catalogue
        self.update_interval = update_interval
        self.age = age
        self.clock = clock
        self._refreshed_at = float("-inf")
        self._changed = asyncio.Event()
        # The changes that were compressed last, and the result.
        self._uncompressed_changes: tuple[WireChange, ...] = ()
        self._compressed_changes = b""

    def notify(self) -> None:
        """Send an update to all followers without waiting for the update interval."""
        self._changed.set()
        self._changed = asyncio.Event()

    def refresh(self) -> None:
        """Handle that the replica was found to be in sync: pass on its age.

        Without this, each host between a follower and the service would add up to an
        update interval to the age.
        """
        now = self.clock.monotonic()
        interval = self.update_interval.total_seconds()
        if now - self._refreshed_at >= REFRESH_SHARE * interval:
            self._refreshed_at = now
            self.notify()

    async def updates(self, request: FollowRequest) -> AsyncIterator[FollowUpdate]:
        """Yield updates to a follower, without end.

        Parameters
        ----------
        request : FollowRequest
            The position that the follower has.
        """
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
            # Without a revision nothing counts as sent, so this would never end.
            if update.revision and self.replica.position > sent:
                continue
            try:
                async with asyncio.timeout(self.update_interval.total_seconds()):
                    await changed.wait()
            except TimeoutError:
                # No change: the next update only carries the age.
                continue

    def _build_update(self, sent: Position, is_first: bool) -> FollowUpdate:
        position = self.replica.position
        changes, is_listing = self.replica.changes_for(sent, is_first)
        orders_position = self.replica.orders_position
        is_same_era = orders_position.era == position.era
        age = self.age()
        age_ms = UNKNOWN_AGE_MS if age == float("inf") else int(age * 1000)
        return FollowUpdate(
            tuple(map(WireChange.from_change, changes)),
            position.revision,
            is_listing,
            min(UNKNOWN_AGE_MS, age_ms),
            int(self.catalogue.remaining_grace * 1000),
            era=position.era,
            orders=tuple(map(WireChange.from_change, self.replica.orders)),
            orders_revision=orders_position.revision if is_same_era else 0,
        )

    def _compressed(self, update: FollowUpdate) -> FollowUpdate:
        size = sum([len(change.value or b"") for change in update.changes])
        if size < MIN_COMPRESSED_BYTES:
            return update
        # Most followers have the same revision and get the same changes.
        if self._uncompressed_changes != update.changes:
            self._uncompressed_changes = update.changes
            self._compressed_changes = compress_changes(update.changes)
        return replace(update, changes=(), compressed_changes=self._compressed_changes)

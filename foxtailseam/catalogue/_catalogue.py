"""Keeps the searchers of each service, and decides how long a lapsed one is kept.

A searcher whose entry said that it drains is removed together with the entry. If an
entry goes missing otherwise, the searcher has lapsed: it crashed, stopped without
draining, or could not renew the entry because the configuration service was
unavailable. Lapsed searchers are kept for a grace period and used as a last resort.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from foxtailseam.catalogue._entries import SearcherEntry
from foxtailseam.clocks import Clock

# Time after the service recovered within which searchers that lapsed during the outage
# publish their entries again; those still missing then are removed.
OUTAGE_GRACE_PERIOD = timedelta(seconds=2)
# How long a single lapsed searcher is kept, to see whether others lapse too.
SINGLE_LAPSE_GRACE_PERIOD = timedelta(milliseconds=500)
# Number of simultaneously lapsed searchers that is taken as an outage of the service,
# even if no call to it failed.
OUTAGE_LAPSE_COUNT = 3
# How long the entry of a removed searcher is remembered, and how many of these at most.
# An older copy of the service's data may contain it again.
REMOVED_RETENTION = timedelta(minutes=5)
MAX_REMOVED = 10_000


class CatalogueListener(Protocol):
    """Receives the changes of a catalogue."""

    def searcher_changed(self, entry: SearcherEntry) -> None:
        """Handle a new searcher, or a changed entry of a known one."""

    def searcher_lapsed(self, identifier: str, is_lapsed: bool) -> None:
        """Handle that the entry of a searcher went missing, or came back."""

    def searcher_removed(self, identifier: str) -> None:
        """Handle the removal of a searcher."""


@dataclass(slots=True)
class _Lapse:
    started_at: float
    expires_at: float


class Catalogue:
    """The searchers that are published, or have lapsed recently.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    listener : CatalogueListener
        Receives the changes.
    """

    def __init__(self, clock: Clock, listener: CatalogueListener):
        self.clock = clock
        self.listener = listener
        self._entries: dict[str, SearcherEntry] = {}
        # Identifiers of the searchers at each address that drain or have lapsed.
        self._ending: defaultdict[str, set[str]] = defaultdict(set)
        self._lapsed: dict[str, _Lapse] = {}
        # Last entries of removed searchers, oldest first, with the time of removal.
        self._removed: dict[str, tuple[SearcherEntry, float]] = {}
        self._grace_ends_at = float("-inf")

    @property
    def entries(self) -> tuple[SearcherEntry, ...]:
        """Return the entries of all searchers, lapsed ones included."""
        return tuple(self._entries.values())

    @property
    def lapsed(self) -> frozenset[str]:
        """Return the identifiers of the searchers that are kept without an entry."""
        return frozenset(self._lapsed)

    @property
    def remaining_grace(self) -> float:
        """Return the remaining seconds of the grace period after an outage, or 0."""
        return max(0.0, self._grace_ends_at - self.clock.monotonic())

    def restore(self, entry: SearcherEntry) -> None:
        """Add an entry that the service may have from an older copy of its data.

        It is ignored if the searcher has drained or was removed since, until it is
        written again.
        """
        known = self._entries.get(entry.identifier)
        if known is not None and known.is_draining and not entry.is_newer_than(known):
            return
        removed = self._removed.get(entry.identifier)
        if removed is not None and not entry.is_newer_than(removed[0]):
            return
        self.upsert(entry)

    def upsert(self, entry: SearcherEntry) -> None:
        """Add a published entry, or replace that of the same searcher.

        Other searchers with the same address stay, since an entry alone does not show
        that they have ended: each request names its searcher, and any other one at the
        address rejects it without running it. Those that started earlier and drain or
        have lapsed are removed.
        """
        self._removed.pop(entry.identifier, None)
        if self._lapsed.pop(entry.identifier, None) is not None:
            self.listener.searcher_lapsed(entry.identifier, False)
        known = self._entries.get(entry.identifier)
        # A searcher may become cold again, with the same time left as before.
        is_cold_again = bool(entry.warmup and known and entry.is_newer_than(known))
        is_unchanged = known == entry and not is_cold_again
        self._forget_ending(entry.identifier)
        # Only the sequence may differ.
        self._entries[entry.identifier] = entry
        if entry.is_draining:
            self._ending[entry.address].add(entry.identifier)
        if is_unchanged:
            return
        for other in self._ending_at(entry.address):
            if other.started_ms < entry.started_ms:
                self._remove(other.identifier)
        self.listener.searcher_changed(entry)

    def mark_missing(self, identifier: str) -> None:
        """Handle a missing entry: remove a draining searcher, mark others as lapsed."""
        entry = self._entries.get(identifier)
        if entry is None or identifier in self._lapsed:
            return
        if entry.is_draining:
            self._remove(identifier)
            return
        now = self.clock.monotonic()
        expires_at = max(
            self._grace_ends_at, now + SINGLE_LAPSE_GRACE_PERIOD.total_seconds()
        )
        lapse = self._lapsed[identifier] = _Lapse(now, expires_at)
        self._ending[entry.address].add(identifier)
        self.listener.searcher_lapsed(identifier, True)
        if len(self._lapsed) == OUTAGE_LAPSE_COUNT:
            self._extend(self._lapsed.values())
        elif len(self._lapsed) > OUTAGE_LAPSE_COUNT:
            # The others were extended before.
            self._extend([lapse])

    def _extend(self, lapses: Iterable[_Lapse]) -> None:
        for lapse in lapses:
            lapse.expires_at = max(
                lapse.expires_at,
                lapse.started_at + OUTAGE_GRACE_PERIOD.total_seconds(),
            )

    def service_recovered(self) -> None:
        """Start the grace period: the configuration service is available again."""
        self.extend_grace(OUTAGE_GRACE_PERIOD)

    def extend_grace(self, grace: timedelta) -> None:
        """Keep searchers that lapse from now on at least until `grace` has passed.

        If the current grace period ends later, it is not changed. A grace period
        longer than `OUTAGE_GRACE_PERIOD` counts as that.
        """
        grace = min(grace, OUTAGE_GRACE_PERIOD)
        ends_at = self.clock.monotonic() + grace.total_seconds()
        self._grace_ends_at = max(self._grace_ends_at, ends_at)

    def remove_expired(self) -> None:
        """Remove the lapsed searchers whose grace period has ended."""
        now = self.clock.monotonic()
        for identifier, lapse in list(self._lapsed.items()):
            if now >= lapse.expires_at:
                self._remove(identifier)

    def _ending_at(self, address: str) -> list[SearcherEntry]:
        """Return the entries of the searchers at an address that drain or lapsed."""
        return [self._entries[item] for item in self._ending.get(address, ())]

    def _forget_ending(self, identifier: str) -> None:
        known = self._entries.get(identifier)
        if known is None or known.address not in self._ending:
            return
        identifiers = self._ending[known.address]
        identifiers.discard(identifier)
        if not identifiers:
            del self._ending[known.address]

    def _remove(self, identifier: str) -> None:
        self._lapsed.pop(identifier, None)
        self._forget_ending(identifier)
        entry = self._entries.pop(identifier, None)
        if entry is not None:
            self._remember_removed(entry)
            self.listener.searcher_removed(identifier)

    def _remember_removed(self, entry: SearcherEntry) -> None:
        now = self.clock.monotonic()
        self._removed[entry.identifier] = (entry, now)
        oldest = next(iter(self._removed))
        while (
            now - self._removed[oldest][1] > REMOVED_RETENTION.total_seconds()
            or len(self._removed) > MAX_REMOVED
        ):
            del self._removed[oldest]
            oldest = next(iter(self._removed))

"""Keeps the searchers of each service, and decides how long a lapsed one stays.

A searcher that says that it drains is dropped with its entry. An entry that goes
missing without that has lapsed: its searcher crashed, left without a word, or
could not renew the entry while the configuration service was away. Lapsed
searchers are kept for a moment, as a last choice.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from foxtailseam.catalogue._entries import SearcherEntry
from foxtailseam.clocks import Clock

# Entries that lapsed while the service was away are written anew within this
# time of its return; what is missing after it is gone.
LAPSE_GRACE = timedelta(seconds=2)
# A single lapsed searcher is kept for so long, to see whether others follow.
LAPSE_HOLD = timedelta(milliseconds=500)
# Entries that lapse together: the service was away, though no call showed it.
LAPSE_GROUP = 3


class CatalogueListener(Protocol):
    """Is told of changes."""

    def searcher_changed(self, entry: SearcherEntry) -> None:
        """Take a new or changed searcher."""

    def searcher_lapsed(self, identifier: str, is_lapsed: bool) -> None:
        """Take note that a searcher's entry went missing, or came back."""

    def searcher_gone(self, identifier: str) -> None:
        """Let go of a searcher."""


@dataclass(slots=True)
class _Lapse:
    since: float
    ends: float


class Catalogue:
    """The published searchers.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    listener : CatalogueListener
        Is told of changes.
    """

    def __init__(self, clock: Clock, listener: CatalogueListener):
        self.clock = clock
        self.listener = listener
        self._entries: dict[str, SearcherEntry] = {}
        self._lapsed: dict[str, _Lapse] = {}
        self._grace_ends = float("-inf")

    @property
    def entries(self) -> tuple[SearcherEntry, ...]:
        """Return every searcher that is published or in its grace."""
        return tuple(self._entries.values())

    @property
    def lapsed(self) -> frozenset[str]:
        """Return the searchers that are kept although their entry is missing."""
        return frozenset(self._lapsed)

    @property
    def remaining_grace(self) -> float:
        """Return how many seconds longer a lapsed entry is kept; 0 for none."""
        return max(0.0, self._grace_ends - self.clock.monotonic())

    def upsert(self, entry: SearcherEntry) -> None:
        """Take an entry as it is published now."""
        if self._lapsed.pop(entry.identifier, None) is not None:
            self.listener.searcher_lapsed(entry.identifier, False)
        if self._entries.get(entry.identifier) == entry:
            return
        for other in self._others_at(entry):
            # An address belongs to one searcher, the one that started last.
            if other.started_ms > entry.started_ms:
                return
            self._drop(other.identifier)
        self._entries[entry.identifier] = entry
        self.listener.searcher_changed(entry)

    def mark_missing(self, identifier: str) -> None:
        """Take note that an entry is missing."""
        entry = self._entries.get(identifier)
        if entry is None or identifier in self._lapsed:
            return
        if entry.is_draining:
            self._drop(identifier)
            return
        now = self.clock.monotonic()
        ends = max(self._grace_ends, now + LAPSE_HOLD.total_seconds())
        self._lapsed[identifier] = _Lapse(now, ends)
        self.listener.searcher_lapsed(identifier, True)
        if len(self._lapsed) >= LAPSE_GROUP:
            self._extend_lapses()

    def _extend_lapses(self) -> None:
        for lapse in self._lapsed.values():
            lapse.ends = max(lapse.ends, lapse.since + LAPSE_GRACE.total_seconds())

    def service_recovered(self) -> None:
        """Begin the grace: the configuration service can be read again."""
        self.extend_grace(LAPSE_GRACE)

    def extend_grace(self, grace: timedelta) -> None:
        """Keep entries that lapse from now on for at least this long."""
        ends = self.clock.monotonic() + grace.total_seconds()
        self._grace_ends = max(self._grace_ends, ends)

    def remove_expired(self) -> None:
        """Drop the searchers whose entry stayed missing."""
        now = self.clock.monotonic()
        for identifier, lapse in list(self._lapsed.items()):
            if now >= lapse.ends:
                self._drop(identifier)

    def _others_at(self, entry: SearcherEntry) -> list[SearcherEntry]:
        return [
            other
            for other in self._entries.values()
            if other.address == entry.address and other.identifier != entry.identifier
        ]

    def _drop(self, identifier: str) -> None:
        self._lapsed.pop(identifier, None)
        if self._entries.pop(identifier, None) is not None:
            self.listener.searcher_gone(identifier)

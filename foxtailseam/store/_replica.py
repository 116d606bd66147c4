"""A copy of the service's keys that never goes back to an older value."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Removed keys that are remembered, so that a late older value is not taken.
MAX_REMOVALS = 20_000


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value.

    Parameters
    ----------
    key : str
        Name.
    value : bytes
        As written.
    revision : int
        Revision of the last write.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that is gone since a revision."""

    key: str
    revision: int


Change = Item | Removal


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys, read page by page.

    Parameters
    ----------
    items : tuple of Item
        What the pages held.
    revision : int
        Revision of the service when the first page was read; later pages may
        hold newer values.
    """

    items: tuple[Item, ...]
    revision: int


class StoreReplica:
    """The newest known change of each key.

    Parameters
    ----------
    on_change : callable
        Gets each change that is news, in the order in which it is learnt.
    """

    def __init__(self, on_change: Callable[[Change], None]):
        self.on_change = on_change
        self._changes: dict[str, Change] = {}
        self._revision = 0
        # Removals up to here may be missing.
        self._complete_since: int | None = None

    @property
    def revision(self) -> int:
        """Return the revision up to which every change is known; 0 at first."""
        return self._revision

    @property
    def changes(self) -> tuple[Change, ...]:
        """Return the newest change of each key."""
        return tuple(self._changes.values())

    @property
    def items(self) -> tuple[Item, ...]:
        """Return the keys that there are."""
        return tuple(item for item in self._changes.values() if isinstance(item, Item))

    def has_removals_since(self, revision: int) -> bool:
        """Return whether `changes_after` a revision holds every removal, too."""
        return self._complete_since is not None and revision >= self._complete_since

    def changes_after(self, revision: int) -> tuple[Change, ...]:
        """Return the newest changes with a revision above the given one."""
        newer = (item for item in self._changes.values() if item.revision > revision)
        return tuple(sorted(newer, key=lambda item: item.revision))

    def apply(self, changes: Iterable[Change], revision: int) -> int:
        """Take changes after the present revision; return how many were news."""
        news = sum(self._apply(change) for change in changes)
        self._revision = max(self._revision, revision)
        self._forget_removals()
        return news

    def apply_listing(self, listing: Listing) -> int:
        """Take a full listing; what it lacks is gone. Return how much was news."""
        news = sum(self._apply(item) for item in listing.items)
        present = {item.key for item in listing.items}
        for key, known in list(self._changes.items()):
            is_older = known.revision <= listing.revision
            if key not in present and is_older and isinstance(known, Item):
                news += self._apply(Removal(key, listing.revision), is_listing=True)
        if self._complete_since is None:
            self._complete_since = listing.revision
        self._revision = max(self._revision, listing.revision)
        self._forget_removals()
        return news

    def _apply(self, change: Change, is_listing: bool = False) -> bool:
        known = self._changes.get(change.key)
        if known is not None:
            is_same = known.revision == change.revision and not is_listing
            if known.revision > change.revision or is_same:
                return False
        elif isinstance(change, Removal):
            self._changes[change.key] = change
            return False
        self._changes[change.key] = change
        self.on_change(change)
        return True

    def _forget_removals(self) -> None:
        removals = [
            item for item in self._changes.values() if isinstance(item, Removal)
        ]
        excess = len(removals) - MAX_REMOVALS
        if excess > 0:
            removals.sort(key=lambda item: item.revision)
            for removal in removals[:excess]:
                del self._changes[removal.key]
                self._complete_since = removal.revision

"""Replica of the keys of the service; no key returns to an older revision."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Maximum number of removals kept. They reject older values that arrive late.
MAX_REMOVALS = 20_000


@dataclass(frozen=True, slots=True)
class Item:
    """A key that exists, with its value.

    Parameters
    ----------
    key : str
        Key of the entry.
    value : bytes
        Value as it was written.
    revision : int
        Revision of the service at which the key was last written.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed at `revision` of the service, or before it."""

    key: str
    revision: int


Change = Item | Removal


@dataclass(frozen=True, slots=True)
class Listing:
    """All existing keys, read page by page.

    Parameters
    ----------
    items : tuple of Item
        Items of all pages.
    revision : int
        Revision of the service when the first page was read; later pages may contain
        newer values.
    """

    items: tuple[Item, ...]
    revision: int


class StoreReplica:
    """Keeps the newest known change of each key.

    Parameters
    ----------
    on_change : callable
        Called with each change that replaces an older one or adds a key, in the order
        in which the changes are applied.
    """

    def __init__(self, on_change: Callable[[Change], None]):
        self.on_change = on_change
        self._changes: dict[str, Change] = {}
        self._revision = 0
        # Removals up to this revision may be missing; None before the first listing.
        self._removals_known_after: int | None = None

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known; 0 if there is none."""
        return self._revision

    @property
    def changes(self) -> tuple[Change, ...]:
        """Return the newest change of each key, removals included."""
        return tuple(self._changes.values())

    @property
    def items(self) -> tuple[Item, ...]:
        """Return the keys that exist, with their values."""
        return tuple(item for item in self._changes.values() if isinstance(item, Item))

    def has_all_removals_since(self, revision: int) -> bool:
        """Return whether `changes_after` for a revision includes every removal."""
        return (
            self._removals_known_after is not None
            and revision >= self._removals_known_after
        )

    def changes_after(self, revision: int) -> tuple[Change, ...]:
        """Return the newest change of each key that changed after a revision.

        The changes are sorted by revision.
        """
        newer = (item for item in self._changes.values() if item.revision > revision)
        return tuple(sorted(newer, key=lambda item: item.revision))

    def apply(self, changes: Iterable[Change], revision: int) -> int:
        """Apply changes after the current revision.

        Parameters
        ----------
        changes : iterable of Change
            Changes in any order; outdated ones are ignored.
        revision : int
            Revision up to which all changes are known with these.

        Returns
        -------
        int
            Number of changes that were passed to `on_change`.
        """
        change_count = sum(self._apply_change(change) for change in changes)
        self._revision = max(self._revision, revision)
        self._discard_old_removals()
        return change_count

    def apply_listing(self, listing: Listing) -> int:
        """Apply a full listing; older keys that it does not contain are removed.

        Returns
        -------
        int
            Number of changes that were passed to `on_change`.
        """
        change_count = sum(self._apply_change(item) for item in listing.items)
        present = {item.key for item in listing.items}
        for key, known in list(self._changes.items()):
            is_older = known.revision <= listing.revision
            if key not in present and is_older and isinstance(known, Item):
                change_count += self._apply_change(
                    Removal(key, listing.revision), is_listing=True
                )
        if self._removals_known_after is None:
            self._removals_known_after = listing.revision
        self._revision = max(self._revision, listing.revision)
        self._discard_old_removals()
        return change_count

    def _apply_change(self, change: Change, is_listing: bool = False) -> bool:
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

    def _discard_old_removals(self) -> None:
        removals = [
            item for item in self._changes.values() if isinstance(item, Removal)
        ]
        excess = len(removals) - MAX_REMOVALS
        if excess > 0:
            removals.sort(key=lambda item: item.revision)
            for removal in removals[:excess]:
                del self._changes[removal.key]
                self._removals_known_after = removal.revision

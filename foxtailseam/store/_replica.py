"""Replica of the keys of the service; no key returns to an older revision."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from foxtailseam.store._position import START, Position

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
    position : Position
        Position of the service at which the key was last written.
    """

    key: str
    value: bytes
    position: Position


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed at `position` of the service, or before it."""

    key: str
    position: Position


Change = Item | Removal


@dataclass(frozen=True, slots=True)
class Listing:
    """All existing keys, read page by page.

    Parameters
    ----------
    items : tuple of Item
        Items of all pages.
    position : Position
        Position of the service when the first page was read; later pages may contain
        newer values.
    """

    items: tuple[Item, ...]
    position: Position


class StoreReplica:
    """Keeps the newest known change of each key.

    All changes are of one era. A listing of a later one starts that era; changes and
    listings of earlier eras are ignored.

    Parameters
    ----------
    on_change : callable
        Called with each change that replaces an older one or adds a key, in the order
        in which the changes are applied.
    on_era : callable
        Called with the position of a listing that starts another era than that of the
        changes that are known, before its own changes.
    is_order : callable
        Returns whether a key is an operator's order. Hosts of earlier releases do not
        know of these keys, so they are exchanged apart from all others.
    """

    def __init__(
        self,
        on_change: Callable[[Change], None],
        on_era: Callable[[Position], None] = lambda position: None,
        is_order: Callable[[str], bool] = lambda key: False,
    ):
        self.on_change = on_change
        self.on_era = on_era
        self.is_order = is_order
        self._changes: dict[str, Change] = {}
        self._position = START
        # The orders that exist, which are few.
        self._orders: dict[str, Item] = {}
        # None until all orders were known once.
        self._orders_position: Position | None = None
        # Removals up to this position may be missing; None before the first listing.
        self._removals_known_after: Position | None = None

    @property
    def position(self) -> Position:
        """Return the position up to which all changes are known."""
        return self._position

    @property
    def orders_position(self) -> Position:
        """Return the position up to which all changes of orders are known, too."""
        return self._orders_position or START

    @property
    def orders(self) -> tuple[Item, ...]:
        """Return the orders that exist."""
        return tuple(self._orders.values())

    @property
    def needs_listing(self) -> bool:
        """Return whether a watch from here could miss changes, such as of orders."""
        known = self._orders_position
        return known is None or known.era != self._position.era

    @property
    def is_empty(self) -> bool:
        """Return whether nothing was read yet."""
        return not self._position.revision

    @property
    def changes(self) -> tuple[Change, ...]:
        """Return the newest change of each key, removals included."""
        return tuple(self._changes.values())

    @property
    def items(self) -> tuple[Item, ...]:
        """Return the keys that exist, with their values."""
        return tuple(item for item in self._changes.values() if isinstance(item, Item))

    def has_all_removals_since(self, position: Position) -> bool:
        """Return whether `changes_after` for a position includes every removal."""
        return (
            self._removals_known_after is not None
            and position >= self._removals_known_after
        )

    def changes_after(self, position: Position) -> tuple[Change, ...]:
        """Return the newest change of each key that changed after a position.

        The changes are sorted by position.
        """
        newer = (item for item in self._changes.values() if item.position > position)
        return tuple(sorted(newer, key=lambda item: item.position))

    def changes_for(
        self, position: Position, is_first: bool
    ) -> tuple[tuple[Change, ...], bool]:
        """Return the changes for a replica at a position, and whether they list all.

        Parameters
        ----------
        position : Position
            Position up to which the other replica has every change.
        is_first : bool
            Whether the other replica may lack removals up to that position.
        """
        lacks_removals = is_first and not self.has_all_removals_since(position)
        # Nothing of an earlier era is known to a replica of a later one.
        if lacks_removals or position.era < self._position.era:
            return self.items, not self.is_empty
        return self.changes_after(position), False

    def apply(
        self,
        changes: Iterable[Change],
        position: Position,
        has_orders: bool = True,
    ) -> int:
        """Apply changes after the current position.

        Parameters
        ----------
        changes : iterable of Change
            Changes in any order; outdated ones are ignored.
        position : Position
            Position up to which all changes are known with these. Nothing is applied
            if it is of another era.
        has_orders : bool
            Whether the changes include those of orders; if not, any of these are
            ignored.

        Returns
        -------
        int
            Number of changes that were passed to `on_change`.
        """
        if position.era != self._position.era:
            return 0
        change_count = sum(
            self._apply_change(change)
            for change in changes
            if has_orders or not self.is_order(change.key)
        )
        self._position = max(self._position, position)
        if has_orders:
            self._orders_position = max(self.orders_position, position)
        self._discard_old_removals()
        return change_count

    def apply_orders(self, orders: Iterable[Item], position: Position) -> int:
        """Apply the set of all orders; older ones that it does not contain are removed.

        Parameters
        ----------
        orders : iterable of Item
            All orders that exist.
        position : Position
            Position up to which they are known. Nothing is applied if it is of another
            era or older than what is known.

        Returns
        -------
        int
            Number of changes that were passed to `on_change`.
        """
        is_older = position < self.orders_position
        if position.era != self._position.era or is_older:
            return 0
        # A later release may know further kinds of orders.
        orders = [item for item in orders if self.is_order(item.key)]
        change_count = sum(self._apply_change(item) for item in orders)
        present = {item.key for item in orders}
        change_count += self._remove_missing(self._orders, present, position)
        self._orders_position = position
        return change_count

    def apply_listing(self, listing: Listing, has_orders: bool = True) -> int:
        """Apply a full listing; older keys that it does not contain are removed.

        Parameters
        ----------
        listing : Listing
            The listing.
        has_orders : bool
            Whether it includes the orders; if not, those that are known stay.

        Returns
        -------
        int
            Number of changes that were passed to `on_change`.
        """
        if listing.position.era < self._position.era:
            return 0
        if listing.position.era > self._position.era:
            return self._start_era(listing, has_orders)
        items = self._select_items(listing, has_orders)
        change_count = sum(self._apply_change(item) for item in items)
        present = {item.key for item in items}
        if not has_orders:
            present.update(self._orders)
        change_count += self._remove_missing(self._changes, present, listing.position)
        if self._removals_known_after is None:
            self._removals_known_after = listing.position
        self._position = max(self._position, listing.position)
        if has_orders:
            self._orders_position = max(self.orders_position, listing.position)
        self._discard_old_removals()
        return change_count

    def _select_items(self, listing: Listing, has_orders: bool) -> tuple[Item, ...]:
        """Return the items to apply, orders first: they hold for the entries."""
        orders = [item for item in listing.items if self.is_order(item.key)]
        if not orders:
            return listing.items
        others = [item for item in listing.items if not self.is_order(item.key)]
        return (*orders, *others) if has_orders else tuple(others)

    def _remove_missing(
        self, known: Mapping[str, Change], present: set[str], position: Position
    ) -> int:
        """Remove the known keys that are older than a listing and missing in it."""
        change_count = 0
        for key, change in list(known.items()):
            is_older = change.position <= position
            if key not in present and is_older and isinstance(change, Item):
                removal = Removal(key, position)
                change_count += self._apply_change(removal, is_listing=True)
        return change_count

    def _start_era(self, listing: Listing, has_orders: bool) -> int:
        known, self._changes = self._changes, {}
        if has_orders:
            self._orders_position = listing.position
        else:
            # Until a host or the service lists the orders of this era.
            start = Position(listing.position.era, 0)
            for key in filter(self.is_order, list(known)):
                before = known.pop(key)
                if isinstance(before, Item):
                    self._changes[key] = replace(before, position=start)
        self._position = self._removals_known_after = listing.position
        if known:
            self.on_era(listing.position)
        changes: list[Change] = []
        for item in self._select_items(listing, has_orders):
            self._changes[item.key] = item
            before = known.pop(item.key, None)
            if not isinstance(before, Item) or before.value != item.value:
                changes.append(item)
        for key, before in known.items():
            if isinstance(before, Item):
                self._changes[key] = Removal(key, listing.position)
                changes.append(self._changes[key])
        self._orders = {
            key: change
            for key, change in self._changes.items()
            if self.is_order(key) and isinstance(change, Item)
        }
        for change in changes:
            self.on_change(change)
        return len(changes)

    def _apply_change(self, change: Change, is_listing: bool = False) -> bool:
        known = self._changes.get(change.key)
        if known is not None:
            is_same = known.position == change.position and not is_listing
            if known.position > change.position or is_same:
                return False
        elif isinstance(change, Removal):
            self._changes[change.key] = change
            return False
        self._changes[change.key] = change
        if self.is_order(change.key):
            self._note_order(change)
        self.on_change(change)
        return True

    def _note_order(self, change: Change) -> None:
        match change:
            case Item(key=key):
                self._orders[key] = change
            case Removal(key=key):
                self._orders.pop(key, None)

    def _discard_old_removals(self) -> None:
        removals = [
            item for item in self._changes.values() if isinstance(item, Removal)
        ]
        excess = len(removals) - MAX_REMOVALS
        if excess > 0:
            removals.sort(key=lambda item: item.position)
            for removal in removals[:excess]:
                del self._changes[removal.key]
                self._removals_known_after = removal.position

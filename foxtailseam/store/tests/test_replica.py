"""Tests of the replica of the configuration service."""

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.store import Item, Listing, Removal, StoreReplica


def replica_and_changes():
    applied = []
    return StoreReplica(applied.append), applied


class TestStoreReplica:
    def test_a_listing_removes_missing_keys(self):
        replica, applied = replica_and_changes()
        replica.apply([Item("a", b"1", 3), Item("b", b"1", 4)], 4)
        replica.apply_listing(Listing((Item("a", b"1", 3),), 9))
        assert applied[-1] == Removal("b", 9)
        assert replica.revision == 9

    def test_a_key_newer_than_the_listing_is_kept(self):
        replica, applied = replica_and_changes()
        replica.apply([Item("b", b"1", 12)], 12)
        replica.apply_listing(Listing((), 9))
        assert applied == [Item("b", b"1", 12)]

    def test_a_late_older_value_does_not_undo_a_removal(self):
        replica, applied = replica_and_changes()
        replica.apply([Item("a", b"1", 3)], 3)
        replica.apply([Removal("a", 7)], 7)
        replica.apply([Item("a", b"0", 5)], 7)
        assert applied[-1] == Removal("a", 7)

    def test_removals_are_complete_since_the_first_listing(self):
        replica, _ = replica_and_changes()
        assert not replica.has_all_removals_since(0)
        replica.apply_listing(Listing((Item("a", b"1", 3),), 9))
        assert not replica.has_all_removals_since(8)
        assert replica.has_all_removals_since(9)
        assert replica.changes_after(2) == (Item("a", b"1", 3),)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12))
    def test_any_order_and_repetition_ends_in_the_newest_change(self, writes):
        changes = [
            Item(key, b"v", number) if is_item else Removal(key, number)
            for number, (key, is_item) in enumerate(writes, 1)
        ]
        newest = {change.key: change for change in changes}
        for order in (changes, changes[::-1], changes + changes[::2]):
            replica, _ = replica_and_changes()
            replica.apply(order, len(changes))
            assert {change.key: change for change in replica.changes} == newest

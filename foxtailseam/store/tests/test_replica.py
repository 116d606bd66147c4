"""Tests of the replica of the configuration service."""

from dataclasses import replace
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.store import Item, Listing, Position, Removal, StoreReplica


def at(revision, era=0):
    return Position(era, revision)


def replica_and_changes():
    applied = []
    return StoreReplica(applied.append), applied


class TestStoreReplica:
    def test_a_listing_removes_missing_keys(self):
        replica, applied = replica_and_changes()
        replica.apply([Item("a", b"1", at(3)), Item("b", b"1", at(4))], at(4))
        replica.apply_listing(Listing((Item("a", b"1", at(3)),), at(9)))
        assert applied[-1] == Removal("b", at(9))
        assert replica.position == at(9)

    def test_a_key_newer_than_the_listing_is_kept(self):
        replica, applied = replica_and_changes()
        replica.apply([Item("b", b"1", at(12))], at(12))
        replica.apply_listing(Listing((), at(9)))
        assert applied == [Item("b", b"1", at(12))]

    def test_a_late_older_value_does_not_undo_a_removal(self):
        replica, applied = replica_and_changes()
        replica.apply([Item("a", b"1", at(3))], at(3))
        replica.apply([Removal("a", at(7))], at(7))
        replica.apply([Item("a", b"0", at(5))], at(7))
        assert applied[-1] == Removal("a", at(7))

    def test_removals_are_complete_since_the_first_listing(self):
        replica, _ = replica_and_changes()
        assert not replica.has_all_removals_since(at(0))
        replica.apply_listing(Listing((Item("a", b"1", at(3)),), at(9)))
        assert not replica.has_all_removals_since(at(8))
        assert replica.has_all_removals_since(at(9))
        assert replica.changes_after(at(2)) == (Item("a", b"1", at(3)),)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12))
    def test_any_order_and_repetition_ends_in_the_newest_change(self, writes):
        changes = [
            Item(key, b"v", at(number)) if is_item else Removal(key, at(number))
            for number, (key, is_item) in enumerate(writes, 1)
        ]
        newest = {change.key: change for change in changes}
        for order in (changes, changes[::-1], changes + changes[::2]):
            replica, _ = replica_and_changes()
            replica.apply(order, at(len(changes)))
            assert {change.key: change for change in replica.changes} == newest


def item(key, value, revision, era):
    return Item(key, value, at(revision, era))


class TestEra:
    """The service comes back from an older copy and gives out revisions again."""

    def test_a_value_written_again_under_a_lower_revision_is_applied(self):
        replica, applied = replica_and_changes()
        replica.apply_listing(Listing((item("a", b"1", 20, 1),), at(20, 1)))
        replica.apply_listing(Listing((item("a", b"2", 12, 2),), at(12, 2)))
        assert applied[-1] == item("a", b"2", 12, 2)
        replica.apply([item("a", b"3", 13, 2)], at(13, 2))
        assert applied[-1] == item("a", b"3", 13, 2)
        assert replica.position == at(13, 2)

    def test_keys_that_the_copy_lacks_are_removed_and_equal_ones_not_reported(self):
        replica, applied = replica_and_changes()
        known = (item("a", b"1", 4, 1), item("b", b"1", 20, 1))
        replica.apply_listing(Listing(known, at(20, 1)))
        count = replica.apply_listing(Listing((item("a", b"1", 4, 2),), at(12, 2)))
        assert count == 1
        assert applied[2:] == [Removal("b", at(12, 2))]

    def test_another_era_is_reported_before_its_changes(self):
        events = []
        replica = StoreReplica(events.append, events.append)
        replica.apply_listing(Listing((item("a", b"1", 4, 1),), at(20, 1)))
        replica.apply_listing(Listing((item("a", b"2", 5, 2),), at(12, 2)))
        assert events == [item("a", b"1", 4, 1), at(12, 2), item("a", b"2", 5, 2)]

    def test_changes_and_listings_of_an_earlier_era_are_ignored(self):
        replica, applied = replica_and_changes()
        replica.apply_listing(Listing((item("a", b"1", 3, 2),), at(3, 2)))
        replica.apply([item("a", b"0", 30, 1)], at(30, 1))
        replica.apply_listing(Listing((item("b", b"0", 30, 1),), at(30, 1)))
        assert applied == [item("a", b"1", 3, 2)]
        assert replica.position == at(3, 2)

    def test_changes_of_a_later_era_wait_for_its_listing(self):
        replica, applied = replica_and_changes()
        replica.apply_listing(Listing((item("a", b"1", 9, 1),), at(9, 1)))
        replica.apply([item("b", b"1", 10, 2)], at(10, 2))
        assert len(applied) == 1
        assert replica.position == at(9, 1)


class RestorableService:
    """A plain model of the service: all writes of the era, and the newest by key."""

    def __init__(self):
        self.era = 1
        self.writes = []

    @property
    def position(self):
        return at(len(self.writes) + 1, self.era)

    @property
    def values(self):
        newest = {change.key: change for change in self.writes}
        return {k: c.value for k, c in newest.items() if isinstance(c, Item)}

    def write(self, key, value):
        position = at(len(self.writes) + 2, self.era)
        change = Removal(key, position) if value is None else Item(key, value, position)
        self.writes.append(change)

    def restore(self, lost):
        kept = self.writes[: max(0, len(self.writes) - lost)]
        self.era += 1
        self.writes = [
            replace(change, position=replace(change.position, era=self.era))
            for change in kept
        ]

    def read_into(self, replica):
        """Do what a follower does: watch, and list if the watch cannot continue."""
        after = replica.position
        is_known = after.era == self.era and after.revision > 0
        if is_known:
            changes = [change for change in self.writes if change.position > after]
            replica.apply(changes, self.position)
            return
        newest = {change.key: change for change in self.writes}
        items = tuple(c for c in newest.values() if isinstance(c, Item))
        replica.apply_listing(Listing(items, self.position))


def relay(source, target):
    """Send what a following host gets in its first update."""
    changes, is_listing = source.changes_for(target.position, True)
    if is_listing:
        target.apply_listing(Listing(changes, source.position))
    else:
        target.apply(changes, source.position)


STEPS = st.one_of(
    st.tuples(st.just("write"), st.sampled_from("abc"), st.booleans()),
    st.tuples(st.just("restore"), st.integers(0, 6), st.just(0)),
    st.tuples(st.just("read"), st.integers(0, 8), st.just(0)),
    st.tuples(st.just("relay"), st.integers(0, 8), st.integers(0, 8)),
)


class TestRandomHistoriesWithRestores:
    @given(st.integers(3, 9), st.lists(STEPS, max_size=60))
    def test_replicas_follow_the_service_and_never_go_back(self, hosts, steps):
        service = RestorableService()
        replicas = [replica_and_changes()[0] for _ in range(hosts)]
        for number, (step, first, second) in enumerate(steps):
            before = [replica.position for replica in replicas]
            match step:
                case "write":
                    service.write(first, b"%d" % number if second else None)
                case "restore":
                    service.restore(first)
                case "read":
                    replica = replicas[first % hosts]
                    service.read_into(replica)
                    assert values_of(replica) == service.values
                case "relay":
                    relay(replicas[first % hosts], replicas[second % hosts])
            for replica, position in zip(replicas, before, strict=True):
                assert replica.position >= position
                assert {change.position.era for change in replica.changes} <= {
                    replica.position.era
                }
        # The first host reads, then each host passes on to the next.
        service.read_into(replicas[0])
        for source, target in pairwise(replicas):
            relay(source, target)
        assert all(values_of(replica) == service.values for replica in replicas)


def values_of(replica):
    return {known.key: known.value for known in replica.items}


def replica_with_orders():
    applied = []
    return StoreReplica(applied.append, is_order=lambda key: key[0] == "o"), applied


class TestOrders:
    """Hosts of earlier releases do not relay orders, and must not undo any."""

    def test_a_listing_without_orders_removes_none_and_adds_none(self):
        replica, applied = replica_with_orders()
        replica.apply_listing(Listing((Item("o1", b"", at(3)),), at(4)))
        items = Item("a", b"1", at(5)), Item("o2", b"", at(2))
        replica.apply_listing(Listing(items, at(6)), has_orders=False)
        assert replica.orders == (Item("o1", b"", at(3)),)
        assert applied == [Item("o1", b"", at(3)), Item("a", b"1", at(5))]

    def test_changes_without_orders_do_not_move_the_position_of_orders(self):
        replica, _ = replica_with_orders()
        replica.apply_listing(Listing((), at(4)))
        replica.apply([Removal("o1", at(6))], at(7), has_orders=False)
        assert replica.position == at(7)
        assert replica.orders_position == at(4)
        assert not replica.needs_listing
        replica.apply([Item("o1", b"", at(5))], at(7))
        assert replica.orders == (Item("o1", b"", at(5)),)
        assert replica.orders_position == at(7)

    def test_the_set_of_all_orders_replaces_what_is_older(self):
        replica, applied = replica_with_orders()
        replica.apply([Item("o1", b"", at(3)), Item("o2", b"", at(4))], at(4))
        replica.apply_orders([Item("o2", b"", at(4))], at(5))
        assert applied[-1] == Removal("o1", at(5))
        replica.apply_orders([Item("o1", b"", at(3))], at(4))
        assert replica.orders == (Item("o2", b"", at(4)),)

    def test_keys_that_are_no_orders_are_not_taken_for_some(self):
        replica, applied = replica_with_orders()
        replica.apply_orders([Item("a", b"", at(3)), Item("o1", b"", at(3))], at(4))
        assert applied == [Item("o1", b"", at(3))]

    def test_orders_stay_in_an_era_that_a_listing_without_them_starts(self):
        replica, applied = replica_with_orders()
        replica.apply([Item("o1", b"", at(3))], at(4))
        replica.apply_listing(Listing((), at(2, era=1)), has_orders=False)
        assert replica.needs_listing
        assert [item.key for item in replica.orders] == ["o1"]
        assert len(applied) == 1
        replica.apply_orders([], at(3, era=1))
        assert applied[-1] == Removal("o1", at(3, era=1))
        assert not replica.needs_listing

    def test_an_era_that_lacks_an_order_removes_it_after_its_start(self):
        replica, applied = replica_with_orders()
        replica.on_era = applied.append
        replica.apply([Item("o1", b"", at(3))], at(4))
        replica.apply_listing(Listing((), at(2, era=1)))
        assert applied[1:] == [at(2, era=1), Removal("o1", at(2, era=1))]
        assert replica.orders == ()

    def test_orders_are_applied_before_other_keys_of_a_listing(self):
        replica, applied = replica_with_orders()
        items = Item("a", b"1", at(1)), Item("o1", b"", at(2))
        replica.apply_listing(Listing(items, at(3)))
        assert [item.key for item in applied] == ["o1", "a"]

    def test_a_position_without_orders_is_not_enough_to_watch_from(self):
        replica, _ = replica_with_orders()
        assert replica.needs_listing
        replica.apply([Item("a", b"1", at(1))], at(1), has_orders=False)
        assert replica.needs_listing
        replica.apply_orders([], at(1))
        assert not replica.needs_listing

    @given(
        st.lists(st.tuples(st.sampled_from(["o1", "o2", "a"]), st.booleans())),
        st.lists(st.tuples(st.sampled_from("ucl"), st.integers(0, 30))),
    )
    def test_orders_are_those_of_their_position_whoever_sends_what(self, writes, steps):
        history = [
            Item(key, b"v", at(number)) if is_item else Removal(key, at(number))
            for number, (key, is_item) in enumerate(writes, 1)
        ]

        def items_at(revision):
            newest = {change.key: change for change in history[:revision]}
            return [item for item in newest.values() if isinstance(item, Item)]

        def orders_at(revision):
            return {item.key for item in items_at(revision) if item.key[0] == "o"}

        replica, _ = replica_with_orders()
        for kind, number in steps:
            revision = min(number, len(history))
            items = items_at(revision)
            others = [item for item in items if item.key[0] != "o"]
            if kind == "u":
                # An update of a host of this release.
                orders = [item for item in items if item.key[0] == "o"]
                replica.apply_orders(orders, at(revision))
                replica.apply(history[:revision], at(revision), has_orders=False)
            elif kind == "c":
                # Changes from a host of the previous release.
                replica.apply(history[:revision], at(revision), has_orders=False)
            else:
                # A listing of such a host, which has read no orders.
                listing = Listing(tuple(others), at(revision))
                replica.apply_listing(listing, has_orders=False)
            known = orders_at(replica.orders_position.revision)
            assert {item.key for item in replica.orders} == known

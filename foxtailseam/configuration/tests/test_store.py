"""Tests of the adoption of revisions."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailseam.configuration import Revision, RulesStore

TEXTS = [
    "* limit {n}  # Ops\n* priority 3  # Ops",
    "* limit {n}  # Ops\nletters repeatable no  # Desk",
    "* limit {n}  # Ops",
]


def text_of(number: int) -> str:
    return TEXTS[number % len(TEXTS)].format(n=number)


class TestRulesStore:
    def test_an_older_revision_never_comes_back(self):
        store = RulesStore()
        assert store.offer(2, text_of(2)).unwrap()
        assert not store.offer(1, text_of(1)).unwrap()
        assert store.revision.number == 2

    def test_an_invalid_value_leaves_the_rules_in_force(self):
        store = RulesStore()
        store.offer(1, text_of(1))
        assert store.offer(2, "nonsense").is_err()
        assert store.revision.number == 1

    def test_a_difference_carries_only_what_changed(self):
        ahead, behind = RulesStore(), RulesStore()
        ahead.offer(1, text_of(1))
        behind.offer(1, text_of(1))
        ahead.offer(2, text_of(2))
        difference = ahead.difference_since(behind.revision)
        assert difference.base == behind.revision
        assert difference.added == ("* limit 2  # Ops",)
        assert behind.merge(difference).unwrap()
        assert behind.rules == ahead.rules

    def test_an_unknown_base_gets_the_whole(self):
        ahead, behind = RulesStore(history=1), RulesStore()
        for number in (1, 2, 3):
            ahead.offer(number, text_of(number))
        behind.offer(1, text_of(1))
        assert ahead.difference_since(behind.revision).base == Revision()
        assert behind.merge(ahead.difference_since(behind.revision)).unwrap()
        assert behind.revision == ahead.revision

    def test_one_number_with_two_contents_settles_alike_everywhere(self):
        first, second = RulesStore(), RulesStore()
        first.offer(1, "* limit 1  # A")
        first.offer(1, "* limit 2  # B")
        second.offer(1, "* limit 2  # B")
        second.offer(1, "* limit 1  # A")
        assert first.revision == second.revision


class Fleet(RuleBasedStateMachine):
    """Processes that read, restart and exchange in any order."""

    def __init__(self):
        super().__init__()
        self.stores = [RulesStore(history=2) for _ in range(3)]
        self.highest = [Revision() for _ in self.stores]
        self.messages = []

    @rule(at=st.integers(0, 2), number=st.integers(1, 6))
    def read_service(self, at, number):
        self.stores[at].offer(number, text_of(number))

    @rule(at=st.integers(0, 2), number=st.integers(1, 6))
    def read_invalid(self, at, number):
        self.stores[at].offer(number, "* limit")

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def send_difference(self, sender, receiver):
        base = self.stores[receiver].revision
        difference = self.stores[sender].difference_since(base)
        if difference is not None:
            self.messages.append((receiver, difference))

    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data, keep):
        if self.messages:
            index = data.draw(st.integers(0, len(self.messages) - 1))
            receiver, difference = self.messages[index]
            if not keep:
                del self.messages[index]
            self.stores[receiver].merge(difference)

    @rule(at=st.integers(0, 2))
    def restart(self, at):
        self.stores[at] = RulesStore(history=2)
        self.highest[at] = Revision()

    @invariant()
    def revisions_only_rise(self):
        for at, store in enumerate(self.stores):
            assert store.revision >= self.highest[at]
            self.highest[at] = store.revision

    @invariant()
    def the_rules_are_those_of_the_revision(self):
        for store in self.stores:
            number = store.revision.number
            if number:
                lines = sorted(text_of(number).splitlines())
                assert list(store.rules.lines) == lines


class TestFleet(Fleet.TestCase):
    settings = settings(max_examples=150, derandomize=True, deadline=None)

"""Tests of the adoption of revisions of the rules."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from foxtailseam.configuration import Revision, RulesStore

TEXTS = [
    "* limit {n}  # Ops\n* priority 3  # Ops",
    "* limit {n}  # Ops\nletters repeatable no  # Desk",
    "* limit {n}  # Ops",
]


def rules_text(number: int) -> str:
    return TEXTS[number % len(TEXTS)].format(n=number)


class TestRulesStore:
    def test_an_older_revision_is_not_adopted(self):
        store = RulesStore()
        assert store.offer(2, rules_text(2)).unwrap()
        assert not store.offer(1, rules_text(1)).unwrap()
        assert store.revision.number == 2

    def test_an_invalid_value_does_not_change_the_rules_in_force(self):
        store = RulesStore()
        store.offer(1, rules_text(1))
        assert store.offer(2, "nonsense").is_err()
        assert store.revision.number == 1

    def test_a_difference_holds_only_changed_rules(self):
        ahead, behind = RulesStore(), RulesStore()
        ahead.offer(1, rules_text(1))
        behind.offer(1, rules_text(1))
        ahead.offer(2, rules_text(2))
        difference = ahead.difference_since(behind.revision)
        assert difference.base == behind.revision
        assert difference.added == ("* limit 2  # Ops",)
        assert behind.merge(difference).unwrap()
        assert behind.rules == ahead.rules

    def test_an_unknown_base_gets_all_rules(self):
        ahead, behind = RulesStore(history_size=1), RulesStore()
        for number in (1, 2, 3):
            ahead.offer(number, rules_text(number))
        behind.offer(1, rules_text(1))
        assert ahead.difference_since(behind.revision).base == Revision()
        assert behind.merge(ahead.difference_since(behind.revision)).unwrap()
        assert behind.revision == ahead.revision

    def test_two_contents_of_one_number_converge_in_any_order(self):
        first, second = RulesStore(), RulesStore()
        first.offer(1, "* limit 1  # A")
        first.offer(1, "* limit 2  # B")
        second.offer(1, "* limit 2  # B")
        second.offer(1, "* limit 1  # A")
        assert first.revision == second.revision


class RulesStoreMachine(RuleBasedStateMachine):
    """Processes that read, restart and exchange differences in any order.

    Messages may be reordered and delivered more than once.
    """

    def __init__(self):
        super().__init__()
        self.stores = [RulesStore(history_size=2) for _ in range(3)]
        self.highest_revisions = [Revision() for _ in self.stores]
        self.messages = []

    @rule(process=st.integers(0, 2), number=st.integers(1, 6))
    def read_service(self, process, number):
        self.stores[process].offer(number, rules_text(number))

    @rule(process=st.integers(0, 2), number=st.integers(1, 6))
    def read_invalid(self, process, number):
        self.stores[process].offer(number, "* limit")

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def send_difference(self, sender, receiver):
        base = self.stores[receiver].revision
        difference = self.stores[sender].difference_since(base)
        if difference is not None:
            self.messages.append((receiver, difference))

    @rule(data=st.data(), redeliver=st.booleans())
    def deliver(self, data, redeliver):
        if self.messages:
            index = data.draw(st.integers(0, len(self.messages) - 1))
            receiver, difference = self.messages[index]
            if not redeliver:
                del self.messages[index]
            self.stores[receiver].merge(difference)

    @rule(process=st.integers(0, 2))
    def restart(self, process):
        self.stores[process] = RulesStore(history_size=2)
        self.highest_revisions[process] = Revision()

    @invariant()
    def revisions_never_decrease(self):
        for process, store in enumerate(self.stores):
            assert store.revision >= self.highest_revisions[process]
            self.highest_revisions[process] = store.revision

    @invariant()
    def rules_match_the_revision(self):
        for store in self.stores:
            number = store.revision.number
            if number:
                lines = sorted(rules_text(number).splitlines())
                assert list(store.rules.lines) == lines


class TestRulesStoreMachine(RulesStoreMachine.TestCase):
    settings = settings(max_examples=150, derandomize=True, deadline=None)

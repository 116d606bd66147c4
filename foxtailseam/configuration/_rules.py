"""One rule, and the set of rules that is in force together."""

from dataclasses import dataclass, field, replace
from functools import cached_property

from foxtailseam.configuration._kinds import RULE_KINDS, RuleValue
from foxtailseam.configuration._policy import FamilyPolicy

EVERY_FAMILY = "*"


@dataclass(frozen=True)
class Rule:
    """One line of the rules file.

    Parameters
    ----------
    family : str
        Service family, or ``*`` for every one.
    setting : str
        Name of a rule kind.
    value : RuleValue
        The value, read and checked.
    requester : str
        Who asked for the rule; the text of its comment.
    text : str
        The line in canonical form.
    """

    family: str
    setting: str
    value: RuleValue
    requester: str
    text: str


@dataclass(frozen=True)
class RuleSet:
    """All rules of one revision, in canonical order.

    Parameters
    ----------
    rules : tuple of Rule
        Each family and setting at most once.
    """

    rules: tuple[Rule, ...] = ()
    _policies: dict[str, FamilyPolicy] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    _values: dict[str, dict[str, RuleValue]] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self):
        for rule in self.rules:
            attribute = RULE_KINDS[rule.setting].attribute
            self._values.setdefault(rule.family, {})[attribute] = rule.value

    @cached_property
    def lines(self) -> tuple[str, ...]:
        """Return the rules in canonical form."""
        return tuple(rule.text for rule in self.rules)

    @cached_property
    def by_line(self) -> dict[str, Rule]:
        """Return the rules by their canonical form."""
        return {rule.text: rule for rule in self.rules}

    def policy(self, family: str) -> FamilyPolicy:
        """Return the policy in force for `family`."""
        known = family if family in self._values else EVERY_FAMILY
        policy = self._policies.get(known)
        if policy is None:
            values = self._values.get(EVERY_FAMILY, {}) | self._values.get(known, {})
            policy = replace(FamilyPolicy(), **values)
            self._policies[known] = policy
        return policy

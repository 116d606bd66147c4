"""A rule, and the set of rules of one revision."""

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
        Service family, or ``*`` for all families.
    setting : str
        Name of the setting, a key of `RULE_KINDS`.
    value : RuleValue
        Parsed and validated value.
    requester : str
        Who requested the rule; the text of the line's comment.
    text : str
        The line in canonical form, ``FAMILY SETTING VALUE  # REQUESTER``.
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
        The rules; each pair of family and setting occurs at most once.
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
        """Return the canonical line of each rule, in order."""
        return tuple(rule.text for rule in self.rules)

    @cached_property
    def by_line(self) -> dict[str, Rule]:
        """Return the rules by their canonical line."""
        return {rule.text: rule for rule in self.rules}

    def policy(self, family: str) -> FamilyPolicy:
        """Return the policy that these rules define for `family`.

        A rule for the family takes precedence over a rule for all families, and
        a setting without a rule has the default of `FamilyPolicy`.
        """
        key = family if family in self._values else EVERY_FAMILY
        policy = self._policies.get(key)
        if policy is None:
            values = self._values.get(EVERY_FAMILY, {}) | self._values.get(key, {})
            policy = replace(FamilyPolicy(), **values)
            self._policies[key] = policy
        return policy

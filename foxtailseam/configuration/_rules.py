"""One rule, and the set of rules that is in force together."""

from dataclasses import dataclass, field, replace

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

    def __post_init__(self):
        values: dict[str, dict[str, RuleValue]] = {EVERY_FAMILY: {}}
        for rule in self.rules:
            attribute = RULE_KINDS[rule.setting].attribute
            values.setdefault(rule.family, {})[attribute] = rule.value
        base = replace(FamilyPolicy(), **values[EVERY_FAMILY])
        for family, changes in values.items():
            self._policies[family] = replace(base, **changes)

    @property
    def lines(self) -> tuple[str, ...]:
        """Return the rules in canonical form."""
        return tuple(rule.text for rule in self.rules)

    def policy(self, family: str) -> FamilyPolicy:
        """Return the policy in force for `family`."""
        return self._policies.get(family, self._policies[EVERY_FAMILY])

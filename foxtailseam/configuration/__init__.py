"""The rules file: its grammar, its revisions and their adoption by a process."""

from foxtailseam.configuration._difference import (
    RulesDifference,
    apply_difference,
    difference_between,
)
from foxtailseam.configuration._kinds import RULE_KINDS, RuleKind
from foxtailseam.configuration._parser import RuleError, parse_rules
from foxtailseam.configuration._policy import FamilyPolicy
from foxtailseam.configuration._revision import Revision, digest_lines
from foxtailseam.configuration._rules import EVERY_FAMILY, Rule, RuleSet
from foxtailseam.configuration._store import RulesStore

__all__ = [
    "EVERY_FAMILY",
    "FamilyPolicy",
    "RULE_KINDS",
    "Revision",
    "Rule",
    "RuleError",
    "RuleKind",
    "RuleSet",
    "RulesDifference",
    "RulesStore",
    "apply_difference",
    "difference_between",
    "digest_lines",
    "parse_rules",
]

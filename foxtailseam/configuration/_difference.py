"""Differences between two revisions, for processes that are behind."""

from dataclasses import dataclass

from result import Err, Ok, Result

from foxtailseam.configuration._parser import RuleError, parse_rules
from foxtailseam.configuration._revision import Revision, rules_digest
from foxtailseam.configuration._rules import RuleSet


@dataclass(frozen=True, slots=True)
class RulesDifference:
    """What leads from one revision to another.

    Parameters
    ----------
    base, target : Revision
        The revisions; a base of number 0 means that `added` is the whole.
    removed, added : tuple of str
        Rules in canonical form.
    """

    base: Revision
    target: Revision
    removed: tuple[str, ...]
    added: tuple[str, ...]


def difference_between(
    base: Revision, old: RuleSet, target: Revision, new: RuleSet
) -> RulesDifference:
    """Return the difference that turns `old` into `new`."""
    before = set(old.lines)
    after = set(new.lines)
    return RulesDifference(
        base,
        target,
        tuple(sorted(before - after)),
        tuple(sorted(after - before)),
    )


def apply_difference(
    old: RuleSet, difference: RulesDifference
) -> Result[RuleSet, RuleError]:
    """Apply a difference, and check the digest of what comes out."""
    lines = set(old.lines) if difference.base.number else set()
    lines.difference_update(difference.removed)
    lines.update(difference.added)
    parsed = parse_rules("\n".join(lines), old.by_line)
    if parsed.is_err():
        return parsed
    digest = rules_digest(parsed.unwrap().lines)
    if digest != difference.target.digest:
        expected = f"rules with digest {difference.target.digest}"
        return Err(RuleError(1, 1, digest, expected))
    return Ok(parsed.unwrap())

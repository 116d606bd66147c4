"""Differences between two revisions, sent to processes with an older revision."""

from dataclasses import dataclass

from result import Err, Ok, Result

from foxtailseam.configuration._parser import RuleError, parse_rules
from foxtailseam.configuration._revision import Revision, digest_lines
from foxtailseam.configuration._rules import RuleSet


@dataclass(frozen=True, slots=True)
class RulesDifference:
    """The changes that turn one revision of the rules into another.

    Parameters
    ----------
    base, target : Revision
        Revisions before and after the changes. If the number of `base` is 0,
        `added` holds all rules of `target`.
    removed, added : tuple of str
        Canonical lines of the rules that were removed and added.
    """

    base: Revision
    target: Revision
    removed: tuple[str, ...]
    added: tuple[str, ...]


def difference_between(
    base: Revision, old: RuleSet, target: Revision, new: RuleSet
) -> RulesDifference:
    """Return the difference between two sets of rules.

    Parameters
    ----------
    base, target : Revision
        Revisions of `old` and `new`.
    old, new : RuleSet
        Rules before and after the change.

    Returns
    -------
    RulesDifference
        The removed and added lines, each sorted.
    """
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
    """Apply a difference and verify the digest of the resulting rules.

    Parameters
    ----------
    old : RuleSet
        Rules of the base revision; ignored if the base has number 0.
    difference : RulesDifference
        The changes to apply.

    Returns
    -------
    Result[RuleSet, RuleError]
        The rules of the target revision, or an error if they are invalid or
        their digest differs from that of the target.
    """
    lines = set(old.lines) if difference.base.number else set()
    lines.difference_update(difference.removed)
    lines.update(difference.added)
    parsed = parse_rules("\n".join(lines), old.by_line)
    if parsed.is_err():
        return parsed
    digest = digest_lines(parsed.unwrap().lines)
    if digest != difference.target.digest:
        expected = f"rules with digest {difference.target.digest}"
        return Err(RuleError(1, 1, digest, expected))
    return Ok(parsed.unwrap())

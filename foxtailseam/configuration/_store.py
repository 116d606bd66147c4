"""The rules in force in one process, and differences to earlier revisions."""

import threading
from collections import deque

from result import Err, Ok, Result

from foxtailseam.configuration._difference import (
    RulesDifference,
    apply_difference,
    difference_between,
)
from foxtailseam.configuration._parser import RuleError, parse_rules
from foxtailseam.configuration._revision import Revision, digest_lines
from foxtailseam.configuration._rules import RuleSet

DEFAULT_HISTORY_SIZE = 16


class RulesStore:
    """Holds the highest accepted revision of the rules; it never decreases.

    Whether a published value is valid depends only on the value, so all
    processes accept or refuse the same values.

    Parameters
    ----------
    history_size : int
        Number of differences to keep, the most recent ones. A process whose
        revision is older than these gets all rules.
    """

    def __init__(self, history_size: int = DEFAULT_HISTORY_SIZE):
        self.history_size = history_size
        self._lock = threading.Lock()
        self._revision = Revision()
        self._rules = RuleSet()
        self._differences: deque[RulesDifference] = deque(maxlen=history_size)

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self._revision

    @property
    def rules(self) -> RuleSet:
        """Return the rules in force."""
        return self._rules

    def offer(self, number: int, text: str) -> Result[bool, RuleError]:
        """Adopt rules published by the configuration service if they are newer.

        Parameters
        ----------
        number : int
            Revision number assigned by the service.
        text : str
            Contents of the rules file.

        Returns
        -------
        Result[bool, RuleError]
            Whether the rules were adopted, or the error if the file is invalid.
        """
        if number < self._revision.number:
            return Ok(False)
        parsed = parse_rules(text, self._rules.by_line)
        if parsed.is_err():
            return parsed
        rules = parsed.unwrap()
        return Ok(self._adopt(Revision(number, digest_lines(rules.lines)), rules))

    def merge(self, difference: RulesDifference) -> Result[bool, RuleError]:
        """Adopt a peer's revision if it is higher than the one in force.

        Parameters
        ----------
        difference : RulesDifference
            The peer's changes since the revision in force, or all its rules.

        Returns
        -------
        Result[bool, RuleError]
            Whether the revision was adopted, or an error if the difference has
            another base or does not result in the target's rules.
        """
        if difference.target <= self._revision:
            return Ok(False)
        if difference.base.number and difference.base != self._revision:
            expected = f"a difference from revision {self._revision.number}"
            return Err(RuleError(1, 1, str(difference.base.number), expected))
        applied = apply_difference(self._rules, difference)
        if applied.is_err():
            return applied
        return Ok(self._adopt(difference.target, applied.unwrap()))

    def difference_since(self, base: Revision) -> RulesDifference | None:
        """Return the difference between an earlier revision and the one in force.

        Parameters
        ----------
        base : Revision
            Revision that the peer has.

        Returns
        -------
        RulesDifference or None
            None if the revision in force is not higher than `base`. All rules if
            `base` is not in the history.
        """
        with self._lock:
            if base >= self._revision:
                return None
            removed: set[str] = set()
            added: set[str] = set()
            reached = base
            for difference in self._differences:
                if difference.base != reached:
                    continue
                # A rule that was added and later removed cancels out, and vice versa.
                added.difference_update(difference.removed)
                removed.update(difference.removed)
                removed.difference_update(difference.added)
                added.update(difference.added)
                reached = difference.target
            if reached == self._revision and base.number:
                return RulesDifference(
                    base, reached, tuple(sorted(removed)), tuple(sorted(added))
                )
            return RulesDifference(Revision(), self._revision, (), self._rules.lines)

    def _adopt(self, revision: Revision, rules: RuleSet) -> bool:
        with self._lock:
            if revision <= self._revision:
                return False
            if self._revision.number:
                self._differences.append(
                    difference_between(self._revision, self._rules, revision, rules)
                )
            self._revision = revision
            self._rules = rules
            return True

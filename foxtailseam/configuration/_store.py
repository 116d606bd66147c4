"""The rules in force in one process."""

import threading
from collections import deque

from result import Err, Ok, Result

from foxtailseam.configuration._difference import (
    RulesDifference,
    apply_difference,
    difference_between,
)
from foxtailseam.configuration._parser import RuleError, parse_rules
from foxtailseam.configuration._revision import Revision, rules_digest
from foxtailseam.configuration._rules import RuleSet

DEFAULT_HISTORY = 16


class RulesStore:
    """Holds the highest accepted revision; its number never falls.

    Whether a published value is accepted depends on the value alone, so every
    process decides alike.

    Parameters
    ----------
    history : int
        How many earlier revisions differences are kept for.
    """

    def __init__(self, history: int = DEFAULT_HISTORY):
        self.history = history
        self._lock = threading.Lock()
        self._revision = Revision()
        self._rules = RuleSet()
        self._steps: deque[RulesDifference] = deque(maxlen=history)

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self._revision

    @property
    def rules(self) -> RuleSet:
        """Return the rules in force."""
        return self._rules

    def offer(self, number: int, text: str) -> Result[bool, RuleError]:
        """Offer a value published by the configuration service.

        Parameters
        ----------
        number : int
            Number that the service gives to the value.
        text : str
            The rules file.

        Returns
        -------
        Result[bool, RuleError]
            Whether the value came into force; the error if it is invalid.
        """
        if number < self._revision.number:
            return Ok(False)
        parsed = parse_rules(text, self._rules.by_line)
        if parsed.is_err():
            return parsed
        rules = parsed.unwrap()
        return Ok(self._adopt(Revision(number, rules_digest(rules.lines)), rules))

    def merge(self, difference: RulesDifference) -> Result[bool, RuleError]:
        """Adopt a peer's revision if it is higher than the one in force."""
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
        """Return what leads from `base` to the revision in force.

        The whole rules are returned if `base` is unknown here; None if there
        is nothing newer than `base`.
        """
        with self._lock:
            if base >= self._revision:
                return None
            removed: set[str] = set()
            added: set[str] = set()
            at = base
            for step in self._steps:
                if step.base != at:
                    continue
                # A rule that came and went again cancels out.
                added.difference_update(step.removed)
                removed.update(step.removed)
                removed.difference_update(step.added)
                added.update(step.added)
                at = step.target
            if at == self._revision and base.number:
                return RulesDifference(
                    base, at, tuple(sorted(removed)), tuple(sorted(added))
                )
            return RulesDifference(Revision(), self._revision, (), self._rules.lines)

    def _adopt(self, revision: Revision, rules: RuleSet) -> bool:
        with self._lock:
            if revision <= self._revision:
                return False
            if self._revision.number:
                self._steps.append(
                    difference_between(self._revision, self._rules, revision, rules)
                )
            self._revision = revision
            self._rules = rules
            return True

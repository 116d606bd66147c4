"""Parser of the rules file.

Each line is ``FAMILY SETTING VALUE  # REQUESTER``. Blank lines and lines that
start with ``#`` are skipped.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from foxtailseam.configuration._kinds import RULE_KINDS
from foxtailseam.configuration._rules import EVERY_FAMILY, Rule, RuleSet

MAX_RULES_BYTES = 1_000_000
COMMENT = "#"

_FAMILY = re.compile(r"[a-z][a-z0-9-]{0,62}")
_WORD = re.compile(r"\S+")
_FIELDS = ("a family", "a setting", "a value")


@dataclass(frozen=True)
class RuleError:
    """Where and why a rules file is refused.

    Parameters
    ----------
    line, column : int
        Position, counted from 1.
    found : str
        Text at that position; empty at the end of the line.
    expected : str
        What may stand there.
    """

    line: int
    column: int
    found: str
    expected: str

    def __str__(self) -> str:
        found = repr(self.found) if self.found else "the end"
        return (
            f"line {self.line}, column {self.column}: "
            f"found {found}, expected {self.expected}"
        )


def parse_rules(
    text: str, known: Mapping[str, Rule] | None = None
) -> Result[RuleSet, RuleError]:
    """Parse a rules file.

    Parameters
    ----------
    text : str
        The whole file, at most `MAX_RULES_BYTES` in UTF-8.
    known : mapping of str to Rule, optional
        Rules by their canonical form, which need not be parsed again.

    Returns
    -------
    Result[RuleSet, RuleError]
        The rules in canonical order, or the first error.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_RULES_BYTES:
        expected = f"a file of at most {MAX_RULES_BYTES} bytes"
        return Err(RuleError(1, 1, f"{size} bytes", expected))
    rules: list[Rule] = []
    first_lines: dict[tuple[str, str], int] = {}
    for number, line in enumerate(text.split("\n"), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith(COMMENT):
            continue
        rule = known.get(stripped) if known else None
        if rule is None:
            parsed = _parse_line(number, line)
            if parsed.is_err():
                return parsed
            rule = parsed.unwrap()
        first = first_lines.setdefault((rule.family, rule.setting), number)
        if first != number:
            expected = f"{rule.setting} once for {rule.family}; it stands in line"
            return Err(RuleError(number, 1, stripped, f"{expected} {first}"))
        rules.append(rule)
    if not rules:
        return Err(RuleError(1, 1, "", "at least one rule"))
    return Ok(RuleSet(tuple(sorted(rules, key=lambda rule: rule.text))))


def _parse_line(number: int, line: str) -> Result[Rule, RuleError]:
    body, mark, comment = line.partition(COMMENT)
    words = list(_WORD.finditer(body))
    if len(words) < len(_FIELDS):
        column = len(body.rstrip()) + 1
        return Err(RuleError(number, column, mark, _FIELDS[len(words)]))
    if len(words) > len(_FIELDS):
        extra = words[len(_FIELDS)]
        return _unexpected(number, extra, "# and who asked for the rule")
    requester = comment.strip()
    if not requester:
        expected = "# and who asked for the rule"
        return Err(RuleError(number, len(line.rstrip()) + 1, "", expected))
    return _read_fields(number, words, requester)


def _read_fields(
    number: int, words: list[re.Match[str]], requester: str
) -> Result[Rule, RuleError]:
    family, setting, value = (word.group() for word in words)
    if family != EVERY_FAMILY and _FAMILY.fullmatch(family) is None:
        expected = "* or a family of small letters, digits and -"
        return _unexpected(number, words[0], expected)
    kind = RULE_KINDS.get(setting)
    if kind is None:
        return _unexpected(number, words[1], "one of " + ", ".join(RULE_KINDS))
    read = kind.read(value)
    if read.is_err():
        return _unexpected(number, words[2], kind.expected)
    text = f"{family} {setting} {value}  # {requester}"
    return Ok(Rule(family, setting, read.unwrap(), requester, text))


def _unexpected(number: int, word: re.Match[str], expected: str) -> Err[RuleError]:
    return Err(RuleError(number, word.start() + 1, word.group(), expected))

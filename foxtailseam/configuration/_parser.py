"""Parser of the rules file.

Each line has the form ``FAMILY SETTING VALUE  # REQUESTER``. Blank lines and
lines that start with ``#`` are skipped.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from foxtailseam.configuration._kinds import RULE_KINDS
from foxtailseam.configuration._rules import EVERY_FAMILY, Rule, RuleSet

MAX_RULES_BYTES = 1_000_000
COMMENT_PREFIX = "#"

_FAMILY = re.compile(r"[a-z][a-z0-9-]{0,62}")
_TOKEN = re.compile(r"\S+")
_FIELDS = ("a family", "a setting", "a value")


@dataclass(frozen=True)
class RuleError:
    """Position of an error in a rules file, and the valid input there.

    Parameters
    ----------
    line, column : int
        Position of the error, counted from 1.
    found : str
        Text at that position; empty if the line or the file ends there.
    expected : str
        Description of the valid input at that position.
    """

    line: int
    column: int
    found: str
    expected: str

    def __str__(self) -> str:
        found = repr(self.found) if self.found else "nothing"
        return (
            f"line {self.line}, column {self.column}: "
            f"found {found}, expected {self.expected}"
        )


def parse_rules(
    text: str, cached_rules: Mapping[str, Rule] | None = None
) -> Result[RuleSet, RuleError]:
    """Parse a rules file.

    Parameters
    ----------
    text : str
        Contents of the file, at most `MAX_RULES_BYTES` bytes in UTF-8.
    cached_rules : mapping of str to Rule, optional
        Previously parsed rules by their canonical line; a line found here is not
        parsed again.

    Returns
    -------
    Result[RuleSet, RuleError]
        The rules in canonical order, or the first error in the file.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_RULES_BYTES:
        expected = f"a file of at most {MAX_RULES_BYTES} bytes"
        return Err(RuleError(1, 1, f"{size} bytes", expected))
    rules: list[Rule] = []
    first_lines: dict[tuple[str, str], int] = {}
    for line_number, line in enumerate(text.split("\n"), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith(COMMENT_PREFIX):
            continue
        rule = cached_rules.get(stripped) if cached_rules else None
        if rule is None:
            parsed = _parse_line(line_number, line)
            if parsed.is_err():
                return parsed
            rule = parsed.unwrap()
        first_line = first_lines.setdefault((rule.family, rule.setting), line_number)
        if first_line != line_number:
            expected = f"{rule.setting} once for {rule.family}; already set in line"
            return Err(RuleError(line_number, 1, stripped, f"{expected} {first_line}"))
        rules.append(rule)
    if not rules:
        return Err(RuleError(1, 1, "", "at least one rule"))
    return Ok(RuleSet(tuple(sorted(rules, key=lambda rule: rule.text))))


def _parse_line(line_number: int, line: str) -> Result[Rule, RuleError]:
    body, separator, comment = line.partition(COMMENT_PREFIX)
    tokens = list(_TOKEN.finditer(body))
    if len(tokens) < len(_FIELDS):
        column = len(body.rstrip()) + 1
        return Err(RuleError(line_number, column, separator, _FIELDS[len(tokens)]))
    if len(tokens) > len(_FIELDS):
        extra = tokens[len(_FIELDS)]
        return _unexpected_token(line_number, extra, "# and the requester of the rule")
    requester = comment.strip()
    if not requester:
        expected = "# and the requester of the rule"
        return Err(RuleError(line_number, len(line.rstrip()) + 1, "", expected))
    return _parse_fields(line_number, tokens, requester)


def _parse_fields(
    line_number: int, tokens: list[re.Match[str]], requester: str
) -> Result[Rule, RuleError]:
    family, setting, value = (token.group() for token in tokens)
    if family != EVERY_FAMILY and _FAMILY.fullmatch(family) is None:
        expected = "* or a family name of lowercase letters, digits and -"
        return _unexpected_token(line_number, tokens[0], expected)
    kind = RULE_KINDS.get(setting)
    if kind is None:
        return _unexpected_token(
            line_number, tokens[1], "one of " + ", ".join(RULE_KINDS)
        )
    parsed = kind.parse(value)
    if parsed.is_err():
        return _unexpected_token(line_number, tokens[2], kind.expected)
    text = f"{family} {setting} {value}  # {requester}"
    return Ok(Rule(family, setting, parsed.unwrap(), requester, text))


def _unexpected_token(
    line_number: int, token: re.Match[str], expected: str
) -> Err[RuleError]:
    return Err(RuleError(line_number, token.start() + 1, token.group(), expected))

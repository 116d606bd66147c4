"""The settings that a rule can set, and the parsers of their values."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from foxtailseam.utils import parse_duration

RuleValue = timedelta | float | int | bool

_PERCENT = re.compile(r"([0-9]{1,3}(?:\.[0-9]{1,3})?)%")
_INTEGER = re.compile(r"[0-9]{1,7}")
_BOOLEANS = {"yes": True, "no": False}


@dataclass(frozen=True)
class RuleKind:
    """Definition of one setting of the rules file.

    Parameters
    ----------
    name : str
        Name of the setting in the rules file.
    attribute : str
        Attribute of `FamilyPolicy` that the setting controls.
    expected : str
        Valid format and range of a value, for error messages and the reference
        page.
    parse : callable
        Converts the text of a value to the value; returns `Err` if the text is
        invalid or out of range.
    description : str
        One line for the reference page.
    """

    name: str
    attribute: str
    expected: str
    parse: Callable[[str], Result[RuleValue, None]]
    description: str


def _duration_parser(minimum: timedelta, maximum: timedelta):
    def parse(text: str) -> Result[RuleValue, None]:
        value = parse_duration(text)
        is_in_range = value is not None and minimum <= value <= maximum
        return Ok(value) if is_in_range else Err(None)

    return parse


def _percent_parser(minimum: float, maximum: float):
    def parse(text: str) -> Result[RuleValue, None]:
        match = _PERCENT.fullmatch(text)
        if match is None:
            return Err(None)
        value = float(match[1])
        return Ok(value / 100) if minimum <= value <= maximum else Err(None)

    return parse


def _integer_parser(minimum: int, maximum: int):
    def parse(text: str) -> Result[RuleValue, None]:
        if _INTEGER.fullmatch(text) is None:
            return Err(None)
        value = int(text)
        return Ok(value) if minimum <= value <= maximum else Err(None)

    return parse


def _parse_yes_no(text: str) -> Result[RuleValue, None]:
    return Ok(_BOOLEANS[text]) if text in _BOOLEANS else Err(None)


_MS = timedelta(milliseconds=1)
_MINUTE = timedelta(minutes=1)

RULE_KINDS = {
    kind.name: kind
    for kind in (
        RuleKind(
            "deadline",
            "deadline",
            "a duration from 10ms to 60s, such as 120ms",
            _duration_parser(10 * _MS, _MINUTE),
            "maximum time from the arrival of a request to its answer",
        ),
        RuleKind(
            "least-coverage",
            "least_coverage",
            "a percentage from 0% to 100%",
            _percent_parser(0, 100),
            "share of shards below which a partial answer is marked insufficient",
        ),
        RuleKind(
            "hedge-budget",
            "hedge_budget",
            "a percentage from 0% to 50%",
            _percent_parser(0, 50),
            "maximum share of sub-requests that are also sent to a second searcher",
        ),
        RuleKind(
            "hedge-after",
            "hedge_after",
            "a percentage from 50% to 99.9%",
            _percent_parser(50, 99.9),
            "quantile of the shard's latency after which a sub-request is hedged",
        ),
        RuleKind(
            "retry-budget",
            "retry_budget",
            "a percentage from 0% to 50%",
            _percent_parser(0, 50),
            "maximum share of sub-requests that are retried after a failure",
        ),
        RuleKind(
            "limit",
            "limit",
            "a whole number from 1 to 100000",
            _integer_parser(1, 100_000),
            "maximum requests in flight in one entry process; further ones are refused",
        ),
        RuleKind(
            "priority",
            "priority",
            "a whole number from 0 to 9",
            _integer_parser(0, 9),
            "priority in a searcher's queue; higher values are served first",
        ),
        RuleKind(
            "retry-after",
            "retry_after",
            "a duration from 100ms to 10min",
            _duration_parser(100 * _MS, 10 * _MINUTE),
            "delay after which a refused caller is told to retry",
        ),
        RuleKind(
            "repeatable",
            "repeatable",
            "yes or no",
            _parse_yes_no,
            "no for requests that must run at most once, such as a booking or a letter",
        ),
        RuleKind(
            "hit-limit",
            "hit_limit",
            "a whole number from 1 to 10000",
            _integer_parser(1, 10_000),
            "maximum number of hits in an answer",
        ),
        RuleKind(
            "quarantine",
            "quarantine",
            "a duration from 1s to 60min",
            _duration_parser(1000 * _MS, 60 * _MINUTE),
            "time for which a request that crashes searchers is refused",
        ),
    )
}

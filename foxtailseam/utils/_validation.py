"""Checks of parameters, with messages that name parameter, value and range."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class ValidationProblem:
    """A parameter outside its range.

    Parameters
    ----------
    parameter : str
        Path of the parameter, for example ``entry.threads``.
    found : str
        The value as given.
    expected : str
        What is allowed.
    """

    parameter: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.parameter}: found {self.found}, expected {self.expected}"


def check_range(
    parameter: str, value: float, low: float, high: float
) -> list[ValidationProblem]:
    """Return a problem if `value` is outside ``[low, high]``, else an empty list."""
    if low <= value <= high:
        return []
    return [ValidationProblem(parameter, str(value), f"{low:g} to {high:g}")]


def check_unique(parameter: str, values: Iterable[str]) -> list[ValidationProblem]:
    """Return a problem for each value that stands twice."""
    seen: set[str] = set()
    problems = []
    for value in values:
        if value in seen:
            problems.append(ValidationProblem(parameter, value, "each value once"))
        seen.add(value)
    return problems

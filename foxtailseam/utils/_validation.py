"""Parameter checks whose messages state the parameter, its value and the range."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class ValidationProblem:
    """Parameter with an invalid value.

    Parameters
    ----------
    parameter : str
        Path of the parameter, for example ``entry.threads``.
    found : str
        Invalid value.
    expected : str
        Description of the valid values.
    """

    parameter: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.parameter}: found {self.found}, expected {self.expected}"


def check_range(
    parameter: str, value: float, low: float, high: float
) -> list[ValidationProblem]:
    """Check that a value is in the closed interval ``[low, high]``.

    Parameters
    ----------
    parameter : str
        Path of the parameter, for messages.
    value : float
        Value to check.
    low, high : float
        Bounds of the interval, both included.

    Returns
    -------
    list of ValidationProblem
        One problem if the value is outside, else empty.
    """
    if low <= value <= high:
        return []
    return [ValidationProblem(parameter, str(value), f"{low:g} to {high:g}")]


def check_unique(parameter: str, values: Iterable[str]) -> list[ValidationProblem]:
    """Check that no value occurs more than once.

    Parameters
    ----------
    parameter : str
        Path of the parameter, for messages.
    values : iterable of str
        Values to check.

    Returns
    -------
    list of ValidationProblem
        One problem for each repeated occurrence of a value.
    """
    seen: set[str] = set()
    problems = []
    for value in values:
        if value in seen:
            problems.append(ValidationProblem(parameter, value, "each value once"))
        seen.add(value)
    return problems

"""Parsing, validation and identifier helpers that the subpackages share."""

from foxtailseam.utils._durations import parse_duration
from foxtailseam.utils._errors import describe_error
from foxtailseam.utils._identifiers import new_identifier
from foxtailseam.utils._validation import ValidationProblem, check_range, check_unique

__all__ = [
    "ValidationProblem",
    "check_range",
    "check_unique",
    "describe_error",
    "new_identifier",
    "parse_duration",
]

"""Parsing, validation and identifier helpers that the subpackages share."""

from foxtailseam.utils._bounded_types import (
    MAX_INTEGER,
    MAX_MILLISECONDS,
    Address,
    ByteCount,
    Count,
    Fraction,
    Integer,
    IpAddress,
    Milliseconds,
    Name,
    PositiveByteCount,
    PositiveCount,
    PositiveMilliseconds,
    PositiveSeconds,
    Seconds,
    SignedMilliseconds,
    SignedWholeMilliseconds,
    SmallInteger,
    WholeMilliseconds,
    WholeNumber,
    is_address,
)
from foxtailseam.utils._decoding import (
    DocumentDecoder,
    DocumentFormat,
    describe_value,
    shorten,
)
from foxtailseam.utils._durations import parse_duration
from foxtailseam.utils._errors import describe_error
from foxtailseam.utils._identifiers import new_identifier
from foxtailseam.utils._validation import ValidationProblem, check_range, check_unique

__all__ = [
    "Address",
    "ByteCount",
    "Count",
    "Fraction",
    "Integer",
    "IpAddress",
    "MAX_INTEGER",
    "MAX_MILLISECONDS",
    "Milliseconds",
    "Name",
    "PositiveByteCount",
    "PositiveCount",
    "PositiveMilliseconds",
    "PositiveSeconds",
    "Seconds",
    "WholeNumber",
    "SignedMilliseconds",
    "SignedWholeMilliseconds",
    "SmallInteger",
    "WholeMilliseconds",
    "is_address",
    "DocumentDecoder",
    "DocumentFormat",
    "ValidationProblem",
    "check_range",
    "check_unique",
    "describe_error",
    "describe_value",
    "new_identifier",
    "parse_duration",
    "shorten",
]

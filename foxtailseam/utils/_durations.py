"""Reads durations as operators write them."""

import re
from datetime import timedelta

_DURATION = re.compile(r"([0-9]{1,7}(?:\.[0-9]{1,3})?)(ms|s|min)")
_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
}


def parse_duration(text: str) -> timedelta | None:
    """Return the duration that a text such as ``120ms``, ``2s`` or ``5min`` gives.

    None if the text is no duration.
    """
    match = _DURATION.fullmatch(text)
    return float(match[1]) * _UNITS[match[2]] if match else None

"""Parser for durations in settings and rules."""

import re
from datetime import timedelta

_DURATION = re.compile(r"([0-9]{1,7}(?:\.[0-9]{1,3})?)(ms|s|min)")
_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
}


def parse_duration(text: str) -> timedelta | None:
    """Parse a duration such as ``120ms``, ``2.5s`` or ``5min``.

    Parameters
    ----------
    text : str
        Number without a sign, with up to 7 digits before and 3 after the decimal
        point, directly followed by the unit ``ms``, ``s`` or ``min``.

    Returns
    -------
    timedelta or None
        The duration, or None if the text is not a valid one.
    """
    match = _DURATION.fullmatch(text)
    return float(match[1]) * _UNITS[match[2]] if match else None

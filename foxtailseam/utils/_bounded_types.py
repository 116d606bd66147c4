"""Types with bounds, for the documents and messages that others write.

`DocumentDecoder` refuses values outside the bounds. They keep arithmetic, durations and
encodings of the values within their ranges.
"""

import re
from typing import Annotated

from msgspec import Meta

# A duration of more than 30 years; `timedelta` and the event loop's timers bear more.
MAX_MILLISECONDS = 10**12
# A sum of two such numbers fits into 64 bits.
MAX_INTEGER = 2**62

Milliseconds = Annotated[float, Meta(ge=0, le=MAX_MILLISECONDS)]
WholeMilliseconds = Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)]
# Milliseconds that may be below 0: what is left of a time that may be over.
SignedMilliseconds = Annotated[float, Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)]
SignedWholeMilliseconds = Annotated[
    int, Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]
# A duration that is not 0 once it is rounded to microseconds.
PositiveMilliseconds = Annotated[float, Meta(ge=0.001, le=MAX_MILLISECONDS)]
Seconds = Annotated[float, Meta(ge=0, le=MAX_MILLISECONDS // 1000)]
PositiveSeconds = Annotated[float, Meta(ge=1e-6, le=MAX_MILLISECONDS // 1000)]

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# Revisions, versions and eras.
WholeNumber = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
SmallInteger = Annotated[int, Meta(ge=-(2**31), le=2**31 - 1)]
Count = Annotated[int, Meta(ge=0, le=2**31 - 1)]
PositiveCount = Annotated[int, Meta(ge=1, le=2**31 - 1)]
ByteCount = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
PositiveByteCount = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1)]

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_PORT = (
    "(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    "|[1-9][0-9]{0,3})"
)
_IP = rf"{_OCTET}(?:\.{_OCTET}){{3}}"
IP_PATTERN = rf"^{_IP}\Z"
ADDRESS_PATTERN = rf"^{_IP}:{_PORT}\Z"

# An IPv4 address, and one with a port from 1 to 65,535.
IpAddress = Annotated[str, Meta(pattern=IP_PATTERN)]
Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]

# What a pattern matches, for messages.
PATTERN_NAMES = {
    IP_PATTERN: "an IPv4 address",
    ADDRESS_PATTERN: "IP:PORT",
}

_ADDRESS = re.compile(ADDRESS_PATTERN)


def is_address(text: str) -> bool:
    """Return whether a text is an address of the form ``IP:PORT``."""
    return _ADDRESS.search(text) is not None

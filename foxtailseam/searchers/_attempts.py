"""What can come of one attempt at one searcher."""

from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.outcomes import Hit


@dataclass(frozen=True, slots=True)
class Answered:
    """The searcher ran the request and answered it.

    Parameters
    ----------
    index_version : int
        Version that the searcher answered from.
    hits : tuple of Hit
        Matching records; empty for a request that may not be repeated.
    receipt : str
        Receipt of a request that may not be repeated.
    draining : bool
        The searcher says that it is leaving.
    incarnation : str
        Identifier of this run of the searcher.
    """

    index_version: int
    hits: tuple[Hit, ...]
    receipt: str
    draining: bool
    incarnation: str


@dataclass(frozen=True, slots=True)
class Shed:
    """The searcher says that it did not run the request."""

    retry_after: timedelta
    draining: bool


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The searcher does not hold the index version that was asked for."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be made; nothing was sent."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection broke after bytes may have left.

    `lost` is set if the searcher accepts no new connection either.
    """

    lost: bool


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No answer came in time; the request may have run."""


@dataclass(frozen=True, slots=True)
class Mismatched:
    """The answer was for another request; the connection was closed."""


Attempt = Answered | Shed | VersionGone | NotSent | Broken | TimedOut | Mismatched

"""Results of one attempt to send a request to one searcher."""

from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.outcomes import Hit


@dataclass(frozen=True, slots=True)
class Answered:
    """The searcher ran the request and returned an answer.

    Parameters
    ----------
    index_version : int
        Index version that the answer was computed from.
    hits : tuple of Hit
        Matching records; empty for a non-repeatable request.
    receipt : str
        Receipt of a non-repeatable request; empty for a search.
    draining : bool
        Whether the searcher reported that it is shutting down.
    incarnation : str
        Identifier of the searcher process; changes when the searcher restarts.
    """

    index_version: int
    hits: tuple[Hit, ...]
    receipt: str
    draining: bool
    incarnation: str


@dataclass(frozen=True, slots=True)
class Shed:
    """The searcher rejected the request without running it.

    Parameters
    ----------
    retry_after : timedelta
        Delay that the searcher asks for before the next request.
    draining : bool
        Whether the searcher reported that it is shutting down.
    """

    retry_after: timedelta
    draining: bool


@dataclass(frozen=True, slots=True)
class VersionGone:
    """The searcher does not hold the requested index version."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing was sent, for instance because no connection could be made.

    Parameters
    ----------
    timed_out : bool
        True if the timeout passed before a connection was open, which can also be
        the delay of this process; False if the searcher refused it.
    """

    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """The request may have been sent, but no valid answer was received.

    Parameters
    ----------
    lost : bool
        True if the connection broke and the searcher accepts no new connection
        either; False if the searcher is reachable or sent an invalid response.
    """

    lost: bool


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No answer arrived before the timeout; the request may have run."""


@dataclass(frozen=True, slots=True)
class Mismatched:
    """The answer belonged to another request; the connections were replaced."""


AttemptResult = Answered | Shed | VersionGone | NotSent | Broken | TimedOut | Mismatched

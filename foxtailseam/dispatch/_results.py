"""What a request to one service comes to."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailseam.http import HttpResponse


class FailureReason(StrEnum):
    """Why a service gave no answer."""

    NO_SEARCHER = "no-searcher"
    SHED = "shed"
    LOST = "lost"
    ERROR = "error"
    DEADLINE = "deadline"
    BUDGET = "budget"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A searcher's answer.

    Parameters
    ----------
    searcher : str
        Who gave it.
    stamp : bytes
        The searcher's digest of it.
    response : HttpResponse
        As received.
    """

    searcher: str
    stamp: bytes
    response: HttpResponse


@dataclass(frozen=True, slots=True)
class ServiceFailure:
    """No answer.

    Parameters
    ----------
    reason : FailureReason
        Why.
    may_have_run : bool
        False only if no searcher can have run the request, nor ever will.
    response : HttpResponse or None
        A searcher's own failure, if there was one.
    """

    reason: FailureReason
    may_have_run: bool
    response: HttpResponse | None = None


ServiceResult = ServiceAnswer | ServiceFailure

"""Results of a call to one service."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from foxtailseam.http import HttpResponse

# Statuses that state to a caller that its request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class FailureReason(StrEnum):
    """Reason why a request was not answered."""

    NO_SEARCHER = "no-searcher"
    SHED = "shed"
    RATE_LIMITED = "rate-limited"
    PAUSED = "paused"
    LOST = "lost"
    ERROR = "error"
    DEADLINE = "deadline"
    BUDGET = "budget"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    ISOLATED = "isolated"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Answer of a searcher.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    stamp : bytes
        Digest of the answer computed by the searcher; empty if absent.
    response : HttpResponse
        Response as received.
    """

    searcher: str
    stamp: bytes
    response: HttpResponse


@dataclass(frozen=True, slots=True)
class ServiceFailure:
    """Result of a call that no searcher answered successfully.

    Parameters
    ----------
    reason : FailureReason
        Reason of the failure.
    may_have_run : bool
        False only if it is certain that no searcher has run or will run the
        request.
    response : HttpResponse or None
        Last error response of a searcher, if any.
    retry_after : timedelta or None
        Time after which the caller should retry; None if unknown.
    """

    reason: FailureReason
    may_have_run: bool
    response: HttpResponse | None = None
    retry_after: timedelta | None = None


ServiceResult = ServiceAnswer | ServiceFailure

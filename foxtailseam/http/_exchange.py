"""What comes of one request on one connection to a searcher."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailseam.http._messages import HttpResponse


class FailureKind(StrEnum):
    """Why a request got no usable response."""

    REFUSED = "refused"
    CONNECT_TIMEOUT = "connect-timeout"
    TIMEOUT = "timeout"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Received:
    """A whole response to this request."""

    response: HttpResponse


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """No response.

    Parameters
    ----------
    kind : FailureKind
        What happened.
    sent : bool
        False only if it is certain that no byte of the request left.
    """

    kind: FailureKind
    sent: bool


ExchangeResult = Received | ExchangeFailure

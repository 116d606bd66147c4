"""Result of one request on one connection to an upstream server."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailseam.http._messages import HttpResponse


class FailureKind(StrEnum):
    """Reason why a request got no usable response."""

    REFUSED = "refused"
    CONNECT_TIMEOUT = "connect-timeout"
    TIMEOUT = "timeout"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    # The buffers of this process have no space left for it.
    BUFFER_FULL = "buffer-full"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Received:
    """Successful exchange: the complete response to the request.

    Parameters
    ----------
    response : HttpResponse
        The response, of any status.
    """

    response: HttpResponse


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Failed exchange: the request got no usable response.

    Parameters
    ----------
    kind : FailureKind
        Reason of the failure.
    sent : bool
        False only if certainly no byte of the request was sent.
    """

    kind: FailureKind
    sent: bool


ExchangeResult = Received | ExchangeFailure

"""Results of forwarding a request."""

from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.forwarding._messages import Unavailability
from foxtailseam.http import HttpResponse

# Status that states that a host refused a request and has not run it.
_REFUSED = 503


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A host has answered a forwarded request.

    Parameters
    ----------
    host : str
        Address of the host.
    response : HttpResponse
        Its response for the caller.
    """

    host: str
    response: HttpResponse

    @property
    def is_refused(self) -> bool:
        """Return whether the host refused the request, so that it has not run it."""
        return self.response.status == _REFUSED


@dataclass(frozen=True, slots=True)
class NotForwarded:
    """No host has answered a forwarded request.

    Parameters
    ----------
    reason : Unavailability
        Why the host that was asked last has not answered; ISOLATED if none was asked.
    may_have_run : bool
        False only if certainly no host has run the request.
    retry_after : timedelta
        Time after which the caller should retry.
    """

    reason: Unavailability
    may_have_run: bool
    retry_after: timedelta


ForwardResult = Forwarded | NotForwarded

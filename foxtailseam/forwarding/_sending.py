"""Result of sending one forwarded request to one host."""

from dataclasses import dataclass
from typing import Protocol

from foxtailseam.forwarding._messages import ForwardedResponse, Unavailability


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """The host answered.

    Parameters
    ----------
    response : ForwardedResponse
        What it answered.
    """

    response: ForwardedResponse


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """The host gave no answer.

    Parameters
    ----------
    reason : Unavailability
        Why.
    sent : bool
        False only if certainly no part of the request reached the host.
    """

    reason: Unavailability
    sent: bool


PeerResult = PeerAnswered | PeerFailed


class PendingSend(Protocol):
    """A forwarded request whose answer is awaited."""

    def cancel(self) -> None:
        """Abort the request, at the other host too; no result follows."""

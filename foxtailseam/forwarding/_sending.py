"""Sending of one forwarded request to one host."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailseam.forwarding._messages import (
    ForwardedRequest,
    ForwardedResponse,
    Unavailability,
)

# Time that a request and its response take between two hosts, in seconds, including
# the work of both.
HOP_SECONDS = 0.008


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


class ForwardSender(Protocol):
    """Sends forwarded requests to other hosts."""

    def send(
        self,
        address: str,
        request: ForwardedRequest,
        done: Callable[[PeerResult], None],
    ) -> PendingSend:
        """Send a request; `done` is called later, once, unless it is cancelled.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the other host.
        request : ForwardedRequest
            Request to send.
        done : callable
            Called with the result.
        """

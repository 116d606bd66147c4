"""Sending of one query to its coordinator, and what the coordinator returns."""

from collections.abc import Callable
from typing import Protocol

from foxtailseam.forwarding import ForwardedRequest, PeerResult, PendingSend


class DelegatedCall(Protocol):
    """A query of another host that a coordinator serves."""

    def allow_attempts(self, attempts: int) -> None:
        """Raise the number of searchers of each shard that may be asked."""

    def cancel(self) -> None:
        """Cancel the query; no response follows."""


class DeclinedCall:
    """A query of another host that is not served; implements `DelegatedCall`."""

    def allow_attempts(self, attempts: int) -> None:
        """Do nothing."""

    def cancel(self) -> None:
        """Do nothing."""


class DelegationSender(Protocol):
    """Sends queries to coordinators."""

    def delegate(
        self,
        address: str,
        request: ForwardedRequest,
        attempts: int,
        on_accepted: Callable[[], None],
        done: Callable[[PeerResult], None],
    ) -> PendingSend:
        """Send a query; `done` is called later, once, unless it is cancelled.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the coordinator.
        request : ForwardedRequest
            Request to send, with the attempts that are allowed at first.
        attempts : int
            Attempts that are allowed once the coordinator has the request.
        on_accepted : callable
            Called when the coordinator has the request, before `done`.
        done : callable
            Called with the result.
        """

"""Complete requests, and what takes them from the parser of a connection."""

from dataclasses import dataclass
from typing import Protocol

from foxtailseam.http._messages import HttpRequest, HttpResponse


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Complete request and what its connection needs to answer it.

    Parameters
    ----------
    request : HttpRequest
        The request.
    header_size : int
        Memory that was reserved for the header, in bytes.
    keep_alive : bool
        Whether the caller lets the connection stay open after the response.
    """

    request: HttpRequest
    header_size: int
    keep_alive: bool


class RequestReceiver(Protocol):
    """Interface of the connection that a parser depends on."""

    # Arrival of the bytes being parsed, in seconds of the listener's clock.
    received_at: float

    def enqueue(self, received: ReceivedRequest) -> None:
        """Queue a complete request to be served."""

    def reject(self, response: HttpResponse) -> None:
        """Answer the request that is being read with an error, and end the parser."""

    def send_continue(self) -> None:
        """Answer ``Expect: 100-continue``, so that the caller sends the body."""

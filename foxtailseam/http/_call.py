"""A caller's request together with the means to respond to it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxtailseam.http._messages import HttpRequest, HttpResponse


class ResponseWriter(Protocol):
    """Interface of the connection that a response is written to."""

    def respond(self, response: HttpResponse) -> None:
        """Write the response to the current request."""


@dataclass(frozen=True, slots=True)
class ForwardContext:
    """Where a request comes from that another host has forwarded.

    Parameters
    ----------
    sender : str
        ``IP:PORT`` of the host that got the request from its caller.
    attempts : int
        Largest number of searchers of each service that may be asked.
    decline : callable
        Gives the request back to that host; called with the number of searchers of a
        service that may have run it.
    """

    sender: str
    attempts: int
    decline: Callable[[int], None]


class Call:
    """Request of a caller that takes exactly one response.

    Parameters
    ----------
    request : HttpRequest
        The complete request.
    connection : ResponseWriter
        Connection that the response is written to.
    forward : ForwardContext or None
        Set if another host has forwarded the request.
    """

    __slots__ = ("_connection", "forward", "on_disconnect", "request")

    def __init__(
        self,
        request: HttpRequest,
        connection: ResponseWriter,
        forward: ForwardContext | None = None,
    ):
        self.request = request
        self.forward = forward
        self.on_disconnect: Callable[[], None] | None = None
        self._connection: ResponseWriter | None = connection

    @property
    def is_open(self) -> bool:
        """Return whether the caller still waits for the response."""
        return self._connection is not None

    def respond(self, response: HttpResponse) -> None:
        """Send the response; does nothing if the caller has disconnected."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.respond(response)

    def notify_disconnect(self) -> None:
        """Mark the caller as disconnected and call `on_disconnect` if set."""
        self._connection = None
        if self.on_disconnect is not None:
            self.on_disconnect()

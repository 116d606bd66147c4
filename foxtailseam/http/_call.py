"""One request of a caller, from its reading to its answer."""

from collections.abc import Callable
from typing import Protocol

from foxtailseam.http._messages import HttpRequest, HttpResponse


class Answerer(Protocol):
    """Where the answer of a call goes."""

    def respond(self, response: HttpResponse) -> None:
        """Write the answer."""


class Call:
    """One request of a caller, to be answered once.

    Parameters
    ----------
    request : HttpRequest
        The whole request.
    connection : Answerer
        Where the answer goes.
    """

    __slots__ = ("_connection", "on_disconnect", "request")

    def __init__(self, request: HttpRequest, connection: Answerer):
        self.request = request
        self.on_disconnect: Callable[[], None] | None = None
        self._connection: Answerer | None = connection

    @property
    def is_open(self) -> bool:
        """Return whether the caller still waits for the answer."""
        return self._connection is not None

    def respond(self, response: HttpResponse) -> None:
        """Send the answer; nothing happens if the caller has left."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.respond(response)

    def notify_disconnect(self) -> None:
        """Take note that the caller has left."""
        self._connection = None
        if self.on_disconnect is not None:
            self.on_disconnect()

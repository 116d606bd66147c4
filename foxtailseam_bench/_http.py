"""A small HTTP/1.1 server over asyncio and httptools that can inject faults."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

REASON_PHRASES = {
    200: "OK",
    304: "Not Modified",
    404: "Not Found",
    409: "Conflict",
    503: "Service Unavailable",
}


@dataclass(frozen=True)
class HttpRequest:
    """A request as received; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class HttpResponse:
    """A response to send."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the response as it is sent: status line, headers and body."""
        head = [f"HTTP/1.1 {self.status} {REASON_PHRASES[self.status]}"]
        head.extend(f"{name}: {value}" for name, value in self.headers.items())
        head.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(head).encode() + self.body


RequestHandler = Callable[["Connection", HttpRequest], Awaitable[HttpResponse | None]]


class Connection(asyncio.Protocol):
    """The server side of one connection.

    Each request is handled in a task of its own, as soon as it is complete.

    Parameters
    ----------
    handle : callable
        Coroutine function that takes the connection and a request and returns the
        response; nothing is sent if it returns None.
    opened, closed : callable
        Called with the connection when it is established and when it has ended.

    Attributes
    ----------
    silent : bool
        Whether the connection ignores what it receives and sends no response.
    """

    def __init__(
        self,
        handle: RequestHandler,
        opened: Callable[["Connection"], None],
        closed: Callable[["Connection"], None],
    ):
        self.handle = handle
        self.opened = opened
        self.closed = closed
        self.transport: asyncio.Transport | None = None
        self.silent = False
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the new connection."""
        self.transport = transport
        self.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection ended."""
        self.closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or drop them if the connection is silent."""
        if self.silent:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._headers = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Store the URL of the request."""
        self._url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lower-case name."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Start a task that handles the request."""
        url = httptools.parse_url(self._url)
        request = HttpRequest(
            self._parser.get_method().decode(),
            url.path.decode(),
            (url.query or b"").decode(),
            self._headers,
            self._body,
        )
        asyncio.ensure_future(self._respond(request))

    def abort(self) -> None:
        """Close the connection at once, dropping unsent data."""
        if self.transport is not None:
            self.transport.abort()

    async def _respond(self, request: HttpRequest) -> None:
        response = await self.handle(self, request)
        if response is not None and not self.silent and self.transport:
            self.transport.write(response.encode())

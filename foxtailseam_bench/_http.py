"""A small HTTP/1.1 server over asyncio and httptools, with faults at will."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

REASONS = {
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
class HttpAnswer:
    """An answer to send."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the bytes on the wire."""
        head = [f"HTTP/1.1 {self.status} {REASONS[self.status]}"]
        head.extend(f"{name}: {value}" for name, value in self.headers.items())
        head.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(head).encode() + self.body


Handle = Callable[["Connection", HttpRequest], Awaitable[HttpAnswer | None]]


class Connection(asyncio.Protocol):
    """One connection; requests on it are answered in order.

    Parameters
    ----------
    handle : callable
        Gives the answer to a request; None sends nothing.
    opened, closed : callable
        Called with the connection.
    """

    def __init__(
        self,
        handle: Handle,
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
        """Take note of the connection."""
        self.transport = transport
        self.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Take note that the connection ended."""
        self.closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse what came in; a silent connection swallows it."""
        if self.silent:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._headers = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Keep the URL."""
        self._url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Answer the request in a task of its own."""
        url = httptools.parse_url(self._url)
        request = HttpRequest(
            self._parser.get_method().decode(),
            url.path.decode(),
            (url.query or b"").decode(),
            self._headers,
            self._body,
        )
        asyncio.ensure_future(self._answer(request))

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    async def _answer(self, request: HttpRequest) -> None:
        answer = await self.handle(self, request)
        if answer is not None and not self.silent and self.transport:
            self.transport.write(answer.encode())

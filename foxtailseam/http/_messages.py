"""HTTP messages as values, and their text."""

from dataclasses import dataclass
from http import HTTPStatus

Headers = tuple[tuple[bytes, bytes], ...]

# RFC 9110, section 7.6.1: these concern one connection only.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
_BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})
_NO_BODY_STATUS = frozenset({204, 304})
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request as a caller sent it.

    Parameters
    ----------
    method, target : bytes
        As in the request line; the target begins with a slash.
    headers : tuple of (bytes, bytes)
        As sent, in order.
    body : bytes
        Whole body, without any chunk framing.
    arrived_at : float
        Time of the first byte, in seconds of the listener's clock.
    network_delay : float or None
        Seconds that the request took to get here, with the opening of its
        connection, and that its answer will take; None if that is not known.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float
    network_delay: float | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Return the value of the Host header."""
        return (find_header(self.headers, b"host") or b"").decode("latin-1")


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response.

    Parameters
    ----------
    status : int
        Status code.
    headers : tuple of (bytes, bytes)
        Without those that concern one connection only.
    body : bytes
        Whole body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given in small letters, or None."""
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers that are passed on: not those of one connection only."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _HOP_BY_HOP and lower not in named
    )


def render_request_head(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return request line and headers, without the empty line that ends them."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines.extend(b"%b: %b" % header for header in headers)
    if body or method in _BODY_METHODS:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"


def render_response(response: HttpResponse, close: bool, is_head: bool) -> bytes:
    """Return the bytes of a response.

    Parameters
    ----------
    response : HttpResponse
        What to send.
    close : bool
        Whether the connection ends after it.
    is_head : bool
        Whether it answers a HEAD request, so that no body follows.
    """
    reason = _REASONS.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines.extend(b"%b: %b" % header for header in response.headers)
    if response.status not in _NO_BODY_STATUS and not is_head:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if is_head else head + response.body

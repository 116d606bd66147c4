"""HTTP requests and responses, and their serialization to HTTP/1.1."""

from dataclasses import dataclass, field
from http import HTTPStatus

from foxtailseam.http._buffer_space import Reservation

Headers = tuple[tuple[bytes, bytes], ...]

# Memory that a header field takes in addition to its name and value.
HEADER_FIELD_BYTES = 200

# Headers that are not forwarded: those that apply to a single connection (RFC 9110,
# section 7.6.1), Content-Length, which is set anew, and Expect, which is answered here.
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
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})
_NO_BODY_STATUS = frozenset({204, 304})
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Complete request as received from a caller.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line; the target starts with a slash.
    headers : tuple of (bytes, bytes)
        Headers in the order received, names in their original case.
    body : bytes
        Complete body, with any chunked transfer coding decoded.
    arrived_at : float
        Arrival of the first byte, in seconds of the listener's monotonic clock.
    network_delay : float or None
        Estimated network time of the request and its response, in seconds,
        including the TCP handshake for the first request of a connection; None if
        unknown.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float
    network_delay: float | None = None

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Return the value of the Host header, empty if there is none."""
        return (find_header(self.headers, b"host") or b"").decode("latin-1")


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response.

    Parameters
    ----------
    status : int
        Status code.
    headers : tuple of (bytes, bytes)
        Headers. A response to be sent must not contain Content-Length and
        Connection, which `render_response` adds.
    body : bytes
        Complete body.
    reservation : Reservation or None
        Buffer space that a received response takes; None if it needs none.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    reservation: Reservation | None = field(default=None, compare=False, repr=False)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None if it is absent.

    Parameters
    ----------
    headers : tuple of (bytes, bytes)
        Headers to search, with names in any case.
    name : bytes
        Name of the header, in lowercase.
    """
    for header_name, value in headers:
        if header_name.lower() == name:
            return value
    return None


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Return the end-to-end headers, which a proxy forwards.

    Leaves out hop-by-hop headers, those that the Connection header names, and
    Content-Length and Expect.
    """
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options.update(
                token.strip().lower() for token in value.split(b",")
            )
    return tuple(
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in _HOP_BY_HOP
        and lower not in connection_options
    )


def render_request_head(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return the request line and headers, without the empty line that ends them.

    Adds Content-Length if there is a body, or if the method usually has one.
    """
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines.extend(b"%b: %b" % header for header in headers)
    if body or method in _BODY_METHODS:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"


def render_response(response: HttpResponse, close: bool, is_head: bool) -> bytes:
    """Return the serialized response, with Content-Length and Connection.

    Parameters
    ----------
    response : HttpResponse
        Response to serialize.
    close : bool
        Whether the connection closes after the response.
    is_head : bool
        Whether it responds to a HEAD request, so that the body is left out.
    """
    reason = _REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines.extend(b"%b: %b" % header for header in response.headers)
    if response.status not in _NO_BODY_STATUS and not is_head:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if is_head else head + response.body

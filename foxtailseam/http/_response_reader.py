"""Reads the responses to the requests on one connection to an upstream server."""

import httptools

from foxtailseam.http._messages import HEADER_FIELD_BYTES

# Searchers close idle connections after this time, unless a response has a
# Keep-Alive header with another timeout.
DEFAULT_IDLE_SECONDS = 4.0
# Limits of what a faulty server can send in response to one request: the body; the
# bodies of responses that belong to other requests, together; and all other bytes
# (heads, trailers, chunk sizes and their extensions), together.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_FRAMING_BYTES = 128 * 1024
# Small chunks need this many more bytes of framing for a byte of the body.
MAX_FRAMING_PER_BODY_BYTE = 8
MAX_HEADER_FIELDS = 1_024
# Statuses of the protocol; those before the first final one are interim.
_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUS = (204, 304)


class ResponseReader:
    """Base class of a connection: takes what the parser finds in received bytes.

    Tells the response to the request in flight from those to other requests, and
    counts what a server sends.

    Parameters
    ----------
    identifier_header : bytes
        Lowercase name of the response header that echoes the identifier of the
        request; empty if responses have no such header.
    """

    __slots__ = (
        "_body",
        "_body_size",
        "_discarded_size",
        "_ends_at_close",
        "_framing_size",
        "_headers",
        "_idle_seconds",
        "_is_complete",
        "_is_discarded",
        "_is_head",
        "_is_status_invalid",
        "_is_too_large",
        "_keep_alive",
        "_must_close",
        "_parser",
        "_request_identifier",
        "_response_identifier",
        "_status",
        "identifier_header",
    )

    def __init__(self, identifier_header: bytes):
        self.identifier_header = identifier_header
        self._parser: httptools.HttpResponseParser | None = None
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        # Last value of the header that `_idle_seconds` was read from.
        self._keep_alive = b""
        # Whether the connection cannot be used for another request.
        self._must_close = False
        self._request_identifier = b""
        self._is_head = False
        self._reset_exchange()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Note a response after the complete one, which is an error."""
        if self._is_complete:
            self._must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a response header; ignore a trailer."""
        if not self._status:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Process the headers: identifier, idle timeout and body length."""
        if self._is_complete:
            return
        self._status = self._parser.get_status_code()
        self._is_status_invalid |= self._status not in _STATUSES
        if self._is_status_invalid:
            return
        has_length = self._status in _NO_BODY_STATUS
        for name, value in self._headers:
            lower = name.lower()
            if lower == self.identifier_header:
                self._response_identifier = value
            elif lower == b"keep-alive" and value != self._keep_alive:
                self._keep_alive = value
                self._parse_keep_alive(value)
            elif lower in (b"content-length", b"transfer-encoding"):
                has_length = True
        informational = self._status < _FIRST_FINAL_STATUS
        self._is_discarded = informational or not self._matches_request()
        if self._is_discarded and not informational:
            self._must_close = True
        self._ends_at_close = not has_length and not informational
        if self._is_head and not self._is_discarded:
            self._is_complete = True
            self._must_close = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, up to `MAX_RESPONSE_BYTES` in total."""
        if self._is_complete or self._is_status_invalid:
            return
        size = len(body)
        self._framing_size -= size
        if self._is_discarded:
            self._discarded_size += size
            self._is_too_large = self._discarded_size > MAX_RESPONSE_BYTES
            return
        self._body_size += size
        if self._body_size > MAX_RESPONSE_BYTES:
            self._is_too_large = True
        elif self._body_size == size:
            self._body = body
        else:
            self._append(body)

    def on_message_complete(self) -> None:
        """Complete the response, or discard it and wait for the expected one."""
        if self._is_complete or self._is_status_invalid:
            return
        if self._is_discarded:
            self._reset_response()
            return
        self._is_complete = True
        if not self._parser.should_keep_alive():
            self._must_close = True

    def _reset_exchange(self) -> None:
        self._framing_size = 0
        self._discarded_size = 0
        self._is_too_large = False
        self._is_status_invalid = False
        self._reset_response()

    def _reset_response(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        # A buffer from the second part on: a list of small parts takes a multiple of
        # their size.
        self._body: bytes | bytearray = b""
        self._body_size = 0
        self._status = 0
        self._response_identifier: bytes | None = None
        self._is_complete = False
        self._is_discarded = False
        self._ends_at_close = False

    def _append(self, body: bytes) -> None:
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += body

    def _exceeds_limits(self) -> bool:
        """Return whether the server sent more than a response may take.

        Bytes are counted as they are received, since the parser keeps an unfinished
        header line to itself.
        """
        max_framing = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_size
        return (
            self._is_too_large
            or self._framing_size > max_framing
            or len(self._headers) > MAX_HEADER_FIELDS
        )

    def _received_size(self) -> int:
        """Return the memory that the response takes so far, in bytes."""
        return (
            self._body_size
            + min(self._framing_size, MAX_FRAMING_BYTES)
            + HEADER_FIELD_BYTES * len(self._headers)
        )

    def _matches_request(self) -> bool:
        if not self.identifier_header:
            return True
        if self._response_identifier is not None:
            return self._response_identifier == self._request_identifier
        # Only an unsuccessful response may lack the identifier, and only if no
        # sign of responses to other requests was seen on this connection.
        return self._status >= 300 and not self._must_close

    def _parse_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, text = part.strip().partition(b"=")
            if name.lower() == b"timeout" and text.isdigit():
                self._idle_seconds = float(text)

"""Parsing of a caller's requests, with size limits and timeouts."""

from datetime import timedelta
from enum import Enum, auto

import httptools

from foxtailseam.http._connection_owner import ConnectionOwner
from foxtailseam.http._error_responses import (
    BAD_REQUEST,
    BUFFER_FULL,
    CONTENT_TOO_LARGE,
)
from foxtailseam.http._messages import HEADER_FIELD_BYTES, HttpRequest, HttpResponse
from foxtailseam.http._request_receiver import ReceivedRequest, RequestReceiver
from foxtailseam.http._request_space import RequestSpace
from foxtailseam.http._upgrade import head_without_upgrade

CONNECT_METHOD = b"CONNECT"
# Bytes of a header line besides name and value: colon, space, CR and LF.
HEADER_LINE_OVERHEAD = 4


class ParserPhase(Enum):
    """Part of a request that a parser expects next."""

    IDLE = auto()
    HEADER = auto()
    BODY = auto()
    # Nothing that follows is read.
    ENDED = auto()


class RequestParser:
    """Parses the requests of a connection and rejects those over a limit.

    Parameters
    ----------
    receiver : RequestReceiver
        Connection that takes the requests.
    listener : ConnectionOwner
        Listener that provides limits and clock.
    space : RequestSpace
        Buffer space of the connection's requests.

    Attributes
    ----------
    phase : ParserPhase
        Part of a request that is expected next.
    phase_since : float
        Monotonic time at which the header or body being read began, in seconds.
    rtt : float or None
        Round-trip time of the connection, in seconds; None if unknown.
    """

    def __init__(
        self, receiver: RequestReceiver, listener: ConnectionOwner, space: RequestSpace
    ):
        self.phase = ParserPhase.IDLE
        self.phase_since = 0.0
        self.rtt: float | None = None
        self._receiver = receiver
        self._listener = listener
        self._space = space
        self._parser = httptools.HttpRequestParser(self)
        self._request_count = 0
        # Memory that is reserved for the header being read, in bytes.
        self._header_size = 0
        self._reset_request()

    @property
    def is_incomplete(self) -> bool:
        """Return whether a part of a request was read."""
        return self.phase is ParserPhase.HEADER or self.phase is ParserPhase.BODY

    @property
    def was_used(self) -> bool:
        """Return whether a complete request was read."""
        return self._request_count > 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes and enforce the size limits."""
        if self.phase is ParserPhase.ENDED:
            return
        self._received_header_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._receiver.reject(BAD_REQUEST)
        else:
            if self.is_incomplete:
                if self._received_header_bytes:
                    self._reserve_header()
                self._check_limits()

    def is_overdue(self, now: float) -> bool:
        """Return whether the header or the body being read is due.

        Parameters
        ----------
        now : float
            Current monotonic time of the listener's clock, in seconds.
        """
        limits = self._listener.limits
        elapsed = timedelta(seconds=now - self.phase_since)
        if self.phase is ParserPhase.HEADER:
            return elapsed > limits.header_timeout
        return self.phase is ParserPhase.BODY and elapsed > limits.body_timeout

    def end(self) -> None:
        """Read nothing that follows."""
        self.phase = ParserPhase.ENDED

    def close(self) -> None:
        """End, and drop the references to the connection, so that it is freed."""
        self.phase = ParserPhase.ENDED
        self._parser = None
        self._receiver = None

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse received bytes, past the heads of requests that ask for an upgrade."""
        while data and self.phase is not ParserPhase.ENDED:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The parser takes what follows, even a body, for the other protocol.
                data = memoryview(data)[upgrade.args[0] :]
                self._ignore_upgrade()

    def _ignore_upgrade(self) -> None:
        """Parse the head that was just read again, without its Upgrade headers."""
        method = self._parser.get_method()
        if method == CONNECT_METHOD:
            self._receiver.reject(BAD_REQUEST)
            return
        head = head_without_upgrade(
            method,
            self._target,
            self._parser.get_http_version(),
            tuple(self._headers),
        )
        self._target = b""
        self._headers = []
        self._parsed_header_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a new request and its header timeout, or one that is parsed again."""
        if self.phase is ParserPhase.ENDED:
            return
        if self.phase is not ParserPhase.HEADER:
            self._enter_phase(ParserPhase.HEADER)
            self._arrived_at = self._receiver.received_at

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header and count its size; only count a trailer."""
        self._parsed_header_bytes += len(name) + len(value) + HEADER_LINE_OVERHEAD
        if self.phase is ParserPhase.HEADER:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the header and answer ``Expect: 100-continue``.

        The header must have one Host field, and the target must start with a
        slash.
        """
        if self.phase is ParserPhase.ENDED or self._parser.should_upgrade():
            return
        self._enter_phase(ParserPhase.BODY)
        self._received_header_bytes = 0
        self._reserve_header()
        host_headers = 0
        expects_continue = False
        for name, value in self._headers:
            lower = name.lower()
            host_headers += lower == b"host"
            expects_continue |= lower == b"expect" and value.lower() == b"100-continue"
            if lower == b"content-length":
                self._is_body_too_large |= int(value) > self._listener.limits.body_bytes
        if host_headers != 1 or not self._target.startswith(b"/"):
            self._is_malformed = True
        elif expects_continue and not self._is_body_too_large:
            self._receiver.send_continue()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body if limit and buffer space allow it."""
        self._received_header_bytes = 0
        self._body_size += len(body)
        if self._body_size > self._listener.limits.body_bytes:
            self._is_body_too_large = True
        elif self._space.reserve_body(len(body)):
            self._body += body
        else:
            self._is_buffer_full = True

    def on_message_complete(self) -> None:
        """Pass a complete request on, unless its head is parsed again."""
        if self.phase is ParserPhase.ENDED or self._parser.should_upgrade():
            return
        self._check_limits()
        if self.phase is ParserPhase.ENDED:
            return
        self.phase = ParserPhase.IDLE
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            self._arrived_at,
            self._network_delay(),
        )
        received = ReceivedRequest(
            request, self._header_size, self._parser.should_keep_alive()
        )
        self._header_size = 0
        self._reset_request()
        self._receiver.enqueue(received)

    def _network_delay(self) -> float | None:
        self._request_count += 1
        if self.rtt is None:
            return None
        # The first request of a connection also waited for the TCP handshake.
        return self.rtt * (2 if self._request_count == 1 else 1)

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        # Bytes received since the request began or, in its body, since its last part:
        # the parser may hold them as an unfinished line.
        self._received_header_bytes = 0
        self._parsed_header_bytes = 0
        self._body_size = 0
        self._is_body_too_large = False
        self._is_buffer_full = False
        self._is_malformed = False
        self._arrived_at = 0.0

    def _enter_phase(self, phase: ParserPhase) -> None:
        self.phase = phase
        self.phase_since = self._listener.clock.monotonic()

    def _check_limits(self) -> None:
        limits = self._listener.limits
        parsed_bytes = self._parsed_header_bytes + len(self._target)
        if max(parsed_bytes, self._received_header_bytes) > limits.header_bytes:
            self._receiver.reject(HttpResponse(limits.long_header_status))
        elif self._is_body_too_large:
            self._receiver.reject(CONTENT_TOO_LARGE)
        elif self._is_malformed:
            self._receiver.reject(BAD_REQUEST)
        elif self._is_buffer_full:
            self._receiver.reject(BUFFER_FULL)

    def _reserve_header(self) -> None:
        """Reserve the memory for what was received of the header, or of a trailer."""
        size = self._received_header_bytes + HEADER_FIELD_BYTES * len(self._headers)
        if self.phase is ParserPhase.BODY:
            size += self._parsed_header_bytes + len(self._target)
        if self._space.reserve_header(size - self._header_size):
            self._header_size = size
        else:
            self._is_buffer_full = True

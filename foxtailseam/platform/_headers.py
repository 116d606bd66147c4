"""The headers that callers, this system and searchers exchange."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.dispatch import AnswerMetadata
from foxtailseam.http import Headers, HttpRequest, end_to_end, render_request_head

_REQUEST_ID = b"foxtailseam-request-id"
_DEADLINE = b"foxtailseam-deadline-ms"
_EXPECT_INSTANCE = b"foxtailseam-expect-instance"
_STAMP = b"foxtailseam-server-stamp"
_NOT_EXECUTED = b"foxtailseam-not-executed"
_INSTANCE = b"foxtailseam-instance-id"

# Searchers repeat the identifier of the request in this header.
ECHOED_IDENTIFIER = _REQUEST_ID

_SET_HERE = frozenset({_DEADLINE, _EXPECT_INSTANCE})
_MISDIRECTED = 421
_RETRY_AFTER_TEXT = b"%.3f"


@dataclass(frozen=True, slots=True)
class RequestMarks:
    """What a caller says of its request.

    Parameters
    ----------
    identifier : bytes
        Identifier of this attempt; empty if there is none, or more than one.
    remaining : timedelta or None
        How long the caller waits; None if it doesn't say.
    """

    identifier: bytes
    remaining: timedelta | None


def read_request(headers: Headers) -> RequestMarks:
    """Read a caller's headers."""
    identifiers = []
    remaining = None
    for name, value in headers:
        lower = name.lower()
        if lower == _REQUEST_ID:
            identifiers.append(value)
        elif lower == _DEADLINE:
            remaining = _milliseconds(value)
    identifier = identifiers[0] if len(identifiers) == 1 else b""
    return RequestMarks(identifier, remaining)


def read_answer(status: int, headers: Headers) -> AnswerMetadata:
    """Read a searcher's headers."""
    stamp = b""
    not_run = status == _MISDIRECTED
    for name, value in headers:
        lower = name.lower()
        if lower == _STAMP:
            stamp = value
        elif lower == _NOT_EXECUTED:
            not_run = True
    return AnswerMetadata(stamp, not_run, status == _MISDIRECTED)


class PlatformTemplate:
    """Implements `foxtailseam.dispatch.RequestTemplate`.

    Parameters
    ----------
    request : HttpRequest
        What is forwarded: method, target, headers and body unchanged.
    """

    def __init__(self, request: HttpRequest):
        self.request = request
        headers = tuple(
            (name, value)
            for name, value in end_to_end(request.headers)
            if name.lower() not in _SET_HERE
        )
        self._head = render_request_head(
            request.method, request.target, headers, request.body
        )

    def render(self, remaining_seconds: float, searcher: str) -> bytes:
        """Return the bytes for one searcher.

        Parameters
        ----------
        remaining_seconds : float
            Time after which the searcher stops work.
        searcher : str
            Identifier of the searcher; any other one turns the request away.
        """
        own = b"Foxtailseam-Deadline-Ms: %d\r\nFoxtailseam-Expect-Instance: %b\r\n\r\n"
        remaining_ms = max(1, int(remaining_seconds * 1000))
        return self._head + own % (remaining_ms, searcher.encode()) + self.request.body


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a searcher's answer that the caller gets."""
    return end_to_end(headers)


def merged_headers(identifier: bytes, stamps: Iterable[bytes], missing: int) -> Headers:
    """Return the headers of an answer that is merged from shards' parts.

    Parameters
    ----------
    identifier : bytes
        Identifier of the caller's request.
    stamps : iterable of bytes
        Digests of the parts that are included.
    missing : int
        Number of shards that are left out.
    """
    return (
        (b"Content-Type", b"application/octet-stream"),
        (b"Foxtailseam-Request-Id", identifier),
        (b"Foxtailseam-Part-Stamps", b", ".join(stamps)),
        (b"Foxtailseam-Missing-Parts", b"%d" % missing),
    )


def retry_headers(identifier: bytes, retry_after: timedelta | None) -> Headers:
    """Return the headers of an answer of our own.

    Parameters
    ----------
    identifier : bytes
        Identifier of the caller's request; empty if there is none.
    retry_after : timedelta or None
        When to come back; None if that helps nothing.
    """
    headers = []
    if identifier:
        headers.append((b"Foxtailseam-Request-Id", identifier))
    if retry_after is not None:
        text = _RETRY_AFTER_TEXT % retry_after.total_seconds()
        headers.append((b"Retry-After", text))
    return tuple(headers)


def _milliseconds(text: bytes) -> timedelta | None:
    try:
        value = float(text)
    except ValueError:
        return None
    is_finite = -1e9 < value < 1e9
    return timedelta(milliseconds=value) if is_finite else None

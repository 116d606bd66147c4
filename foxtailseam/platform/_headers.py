"""HTTP headers exchanged between callers, this system and searchers."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.conditions import MAX_PAUSE, round_rate
from foxtailseam.dispatch import MALFORMED_LIMIT, MALFORMED_PAUSE, AnswerMetadata
from foxtailseam.http import Headers, HttpRequest, render_request_head, strip_hop_by_hop

_REQUEST_ID = b"foxtailseam-request-id"
_DEADLINE = b"foxtailseam-deadline-ms"
_EXPECT_INSTANCE = b"foxtailseam-expect-instance"
_STAMP = b"foxtailseam-server-stamp"
_NOT_EXECUTED = b"foxtailseam-not-executed"
_RATE_LIMIT = b"server-limit"
# Value 1: the searcher is about to stop.
_LEAVING = b"server-leaving"
# In a rejection: seconds in which the searcher wants no request from this host.
_RETRY_AFTER = b"retry-after"
_INSTANCE = b"foxtailseam-instance-id"

# Searchers echo the identifier of the request in this response header.
REQUEST_ID_HEADER = _REQUEST_ID

_REPLACED_HEADERS = frozenset({_DEADLINE, _EXPECT_INSTANCE})
_MISDIRECTED = 421
_UNAVAILABLE = 503
_TRUE = b"1"
# Greatest limit of a searcher that is believed, in requests per second.
_MAX_RATE = 1e9
_RETRY_AFTER_FORMAT = b"%.3f"


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a request, from the headers of the caller.

    Parameters
    ----------
    identifier : bytes
        Identifier of the request, one for each attempt of the caller; empty if the
        header is missing or repeated.
    remaining : timedelta or None
        How long the caller still waits; None if that is missing or malformed.
    """

    identifier: bytes
    remaining: timedelta | None


def parse_request_headers(headers: Headers) -> RequestMetadata:
    """Return the metadata in the headers of a caller's request."""
    identifiers = []
    remaining = None
    for name, value in headers:
        lower = name.lower()
        if lower == _REQUEST_ID:
            identifiers.append(value)
        elif lower == _DEADLINE:
            remaining = _parse_milliseconds(value)
    identifier = identifiers[0] if len(identifiers) == 1 else b""
    return RequestMetadata(identifier, remaining)


def parse_response_headers(status: int, headers: Headers) -> AnswerMetadata:
    """Return the metadata in the status and headers of a searcher's response.

    Status 421 means that another searcher now has the address, so the request was not
    run. A pause is a number of seconds; dates are not read, since clocks differ.
    """
    stamp = b""
    not_run = status == _MISDIRECTED
    rate_limit = pause = None
    is_leaving = False
    malformed = ""
    for name, value in headers:
        lower = name.lower()
        if lower == _STAMP:
            stamp = value
        elif lower == _NOT_EXECUTED:
            not_run = True
        elif lower == _RATE_LIMIT:
            rate_limit = _parse_rate(value)
            malformed = malformed if rate_limit is not None else MALFORMED_LIMIT
        elif lower == _LEAVING:
            is_leaving = value.strip() == _TRUE
        elif lower == _RETRY_AFTER and status == _UNAVAILABLE:
            pause = _parse_pause(value)
            malformed = malformed if pause is not None else MALFORMED_PAUSE
    return AnswerMetadata(
        stamp,
        not_run,
        status == _MISDIRECTED,
        rate_limit,
        is_leaving,
        pause,
        malformed,
    )


class PlatformRequestTemplate:
    """Implements `foxtailseam.dispatch.RequestTemplate`.

    Parameters
    ----------
    request : HttpRequest
        Request to forward. Method, target and body are sent unchanged; of the headers,
        the hop-by-hop ones are removed and those that this system sets are replaced.
    """

    def __init__(self, request: HttpRequest):
        self.request = request
        headers = tuple(
            (name, value)
            for name, value in strip_hop_by_hop(request.headers)
            if name.lower() not in _REPLACED_HEADERS
        )
        self._head = render_request_head(
            request.method, request.target, headers, request.body
        )

    def render(self, remaining_seconds: float, searcher: str) -> bytes:
        """Return the serialized request for one searcher.

        Parameters
        ----------
        remaining_seconds : float
            Seconds after which the searcher stops working on the request; sent as at
            least 1 ms.
        searcher : str
            Identifier of the searcher; any other searcher rejects the request.
        """
        added_headers = (
            b"Foxtailseam-Deadline-Ms: %d\r\nFoxtailseam-Expect-Instance: %b\r\n\r\n"
        )
        remaining_ms = max(1, int(remaining_seconds * 1000))
        return (
            self._head
            + added_headers % (remaining_ms, searcher.encode())
            + self.request.body
        )


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers of a searcher's response that are passed to the caller.

    These are all but the hop-by-hop headers.
    """
    return strip_hop_by_hop(headers)


def merged_response_headers(
    identifier: bytes, stamps: Iterable[bytes], missing: int
) -> Headers:
    """Return the headers of a response that is merged from the shards' responses.

    Parameters
    ----------
    identifier : bytes
        Identifier of the caller's request.
    stamps : iterable of bytes
        Digests of the responses that are included.
    missing : int
        Number of shards whose responses are missing.
    """
    return (
        (b"Content-Type", b"application/octet-stream"),
        (b"Foxtailseam-Request-Id", identifier),
        (b"Foxtailseam-Part-Stamps", b", ".join(stamps)),
        (b"Foxtailseam-Missing-Parts", b"%d" % missing),
    )


def local_response_headers(identifier: bytes, retry_after: timedelta | None) -> Headers:
    """Return the headers of a response that this host produces itself.

    Parameters
    ----------
    identifier : bytes
        Identifier of the caller's request; empty if there is none.
    retry_after : timedelta or None
        Time after which the caller should retry; None to send no such header, because
        a retry would not help.
    """
    headers = []
    if identifier:
        headers.append((b"Foxtailseam-Request-Id", identifier))
    if retry_after is not None:
        text = _RETRY_AFTER_FORMAT % retry_after.total_seconds()
        headers.append((b"Retry-After", text))
    return tuple(headers)


def _parse_rate(text: bytes) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return round_rate(value) if 0 <= value < _MAX_RATE else None


def _parse_pause(text: bytes) -> timedelta | None:
    try:
        value = float(text)
    except ValueError:
        return None
    if not value >= 0:
        return None
    return timedelta(seconds=min(value, MAX_PAUSE.total_seconds()))


def _parse_milliseconds(text: bytes) -> timedelta | None:
    try:
        value = float(text)
    except ValueError:
        return None
    is_in_range = -1e9 < value < 1e9
    return timedelta(milliseconds=value) if is_in_range else None

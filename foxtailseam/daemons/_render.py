"""Turns outcomes into HTTP replies."""

import math
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from foxtailseam.outcomes import (
    Accepted,
    Complete,
    Coverage,
    Hit,
    Outcome,
    Partial,
    RefusalReason,
    Refused,
    Unknown,
)

JSON_HEADERS = (("Content-Type", "application/json"),)

_REFUSED_STATUS = {
    RefusalReason.UNKNOWN_FAMILY: "404 Not Found",
    RefusalReason.NOT_REPEATABLE: "409 Conflict",
    RefusalReason.REPEATABLE: "409 Conflict",
    RefusalReason.TICKET_EXPIRED: "409 Conflict",
    RefusalReason.QUARANTINED: "403 Forbidden",
    RefusalReason.OVERLOADED: "429 Too Many Requests",
}
_UNAVAILABLE = "503 Service Unavailable"


@dataclass(frozen=True)
class HttpReply:
    """Status line, body and headers of a reply."""

    status: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = JSON_HEADERS


@dataclass(frozen=True)
class _SearchPage:
    outcome: str
    request_id: str
    index_version: int
    sufficient: bool
    coverage: Coverage
    hits: tuple[Hit, ...]


@dataclass(frozen=True)
class _AcceptedPage:
    outcome: str
    request_id: str
    receipt: str


@dataclass(frozen=True)
class _RefusedPage:
    outcome: str
    request_id: str
    reason: str
    retry_after_ms: int | None


@dataclass(frozen=True)
class _UnknownPage:
    outcome: str
    request_id: str
    detail: str


def render_outcome(outcome: Outcome) -> HttpReply:
    """Return the HTTP reply for an outcome."""
    match outcome:
        case Complete(request_id, version, coverage, hits):
            page = _SearchPage("complete", request_id, version, True, coverage, hits)
            return HttpReply("200 OK", msgspec.json.encode(page))
        case Partial(request_id, version, coverage, hits, sufficient):
            page = _SearchPage(
                "partial", request_id, version, sufficient, coverage, hits
            )
            status = "200 OK" if sufficient else "504 Gateway Timeout"
            return HttpReply(status, msgspec.json.encode(page))
        case Accepted(request_id, receipt):
            page = _AcceptedPage("accepted", request_id, receipt)
            return HttpReply("200 OK", msgspec.json.encode(page))
        case Unknown(request_id, detail):
            page = _UnknownPage("unknown", request_id, detail)
            return HttpReply("504 Gateway Timeout", msgspec.json.encode(page))
        case Refused(request_id, reason, retry_after):
            return _render_refusal(request_id, reason, retry_after)


def _render_refusal(
    request_id: str, reason: RefusalReason, retry_after: timedelta | None
) -> HttpReply:
    status = _REFUSED_STATUS.get(reason, _UNAVAILABLE)
    headers = JSON_HEADERS
    milliseconds = None
    if retry_after is not None:
        milliseconds = retry_after // timedelta(milliseconds=1)
        seconds = math.ceil(retry_after.total_seconds())
        headers = (*headers, ("Retry-After", str(seconds)))
    page = _RefusedPage("refused", request_id, reason, milliseconds)
    return HttpReply(status, msgspec.json.encode(page), headers)

"""Converts outcomes to HTTP responses."""

import math
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from foxtailseam.http import HttpResponse
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

JSON_HEADERS = ((b"Content-Type", b"application/json"),)

OK = 200
GATEWAY_TIMEOUT = 504
_REFUSED_STATUS = {
    RefusalReason.UNKNOWN_FAMILY: 404,
    RefusalReason.NOT_REPEATABLE: 409,
    RefusalReason.REPEATABLE: 409,
    RefusalReason.TICKET_EXPIRED: 409,
    RefusalReason.QUARANTINED: 403,
    RefusalReason.OVERLOADED: 429,
}
_UNAVAILABLE = 503


def json_response(status: int, body: object) -> HttpResponse:
    """Return a response with HTTP status `status` and `body` encoded as JSON."""
    return HttpResponse(status, JSON_HEADERS, msgspec.json.encode(body))


@dataclass(frozen=True)
class _SearchResponseBody:
    outcome: str
    request_id: str
    index_version: int
    sufficient: bool
    coverage: Coverage
    hits: tuple[Hit, ...]


@dataclass(frozen=True)
class _AcceptedResponseBody:
    outcome: str
    request_id: str
    receipt: str


@dataclass(frozen=True)
class _RefusedResponseBody:
    outcome: str
    request_id: str
    reason: str
    retry_after_ms: int | None


@dataclass(frozen=True)
class _UnknownResponseBody:
    outcome: str
    request_id: str
    detail: str


def render_outcome(outcome: Outcome) -> HttpResponse:
    """Return the HTTP response for the outcome of a caller's request."""
    match outcome:
        case Complete(request_id, version, coverage, hits):
            body = _SearchResponseBody(
                "complete", request_id, version, True, coverage, hits
            )
            return json_response(OK, body)
        case Partial(request_id, version, coverage, hits, sufficient):
            body = _SearchResponseBody(
                "partial", request_id, version, sufficient, coverage, hits
            )
            return json_response(OK if sufficient else GATEWAY_TIMEOUT, body)
        case Accepted(request_id, receipt):
            body = _AcceptedResponseBody("accepted", request_id, receipt)
            return json_response(OK, body)
        case Unknown(request_id, detail):
            body = _UnknownResponseBody("unknown", request_id, detail)
            return json_response(GATEWAY_TIMEOUT, body)
        case Refused(request_id, reason, retry_after):
            return _render_refusal(request_id, reason, retry_after)


def _render_refusal(
    request_id: str, reason: RefusalReason, retry_after: timedelta | None
) -> HttpResponse:
    status = _REFUSED_STATUS.get(reason, _UNAVAILABLE)
    headers = JSON_HEADERS
    milliseconds = None
    if retry_after is not None:
        milliseconds = retry_after // timedelta(milliseconds=1)
        seconds = math.ceil(retry_after.total_seconds())
        headers = (*headers, (b"Retry-After", b"%d" % seconds))
    body = _RefusedResponseBody("refused", request_id, reason, milliseconds)
    return HttpResponse(status, headers, msgspec.json.encode(body))

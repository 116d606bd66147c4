"""Turns what a request came to into the response that the caller gets."""

from datetime import timedelta

from foxtailseam.dispatch import (
    FailureReason,
    MergedAnswer,
    NotAnswered,
    ServiceAnswer,
    ServiceFailure,
)
from foxtailseam.http import HttpResponse
from foxtailseam.platform import answer_headers, merged_headers, retry_headers

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Statuses that promise that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})
# When to come back after a refusal that names no time of its own.
_RETRY_AFTER = {
    FailureReason.NO_SEARCHER: timedelta(milliseconds=500),
    FailureReason.SHED: timedelta(milliseconds=100),
    FailureReason.BUDGET: timedelta(milliseconds=200),
    FailureReason.LOST: timedelta(milliseconds=100),
    FailureReason.ERROR: timedelta(milliseconds=100),
    FailureReason.DEADLINE: timedelta(milliseconds=100),
    FailureReason.OVERLOADED: timedelta(milliseconds=200),
    FailureReason.QUARANTINED: timedelta(seconds=2),
}


class Answers:
    """The responses to one request.

    Parameters
    ----------
    identifier : bytes
        Identifier of the caller's request; empty if it has none.
    """

    def __init__(self, identifier: bytes):
        self.identifier = identifier

    def bad_request(self) -> HttpResponse:
        """Return the answer to a request that cannot be identified."""
        return HttpResponse(BAD_REQUEST, retry_headers(self.identifier, None))

    def no_route(self) -> HttpResponse:
        """Return the answer where no route matches."""
        return HttpResponse(NOT_FOUND, retry_headers(self.identifier, None))

    def refused(self, retry_after: timedelta) -> HttpResponse:
        """Return the answer to a request that was not run."""
        return HttpResponse(UNAVAILABLE, retry_headers(self.identifier, retry_after))

    def merged(self, result: MergedAnswer) -> HttpResponse:
        """Return an answer from shards' parts."""
        headers = merged_headers(self.identifier, result.stamps, result.missing)
        return HttpResponse(OK, headers, result.records)

    def forwarded(self, result: ServiceAnswer) -> HttpResponse:
        """Return a searcher's answer."""
        response = result.response
        headers = answer_headers(response.headers)
        return HttpResponse(response.status, headers, response.body)

    def failed(self, result: ServiceFailure | NotAnswered) -> HttpResponse:
        """Return the answer to a request that came to nothing."""
        if not result.may_have_run:
            return self.refused(_retry_after(result))
        match result:
            case ServiceFailure(response=HttpResponse(status=status) as response):
                # A promise of the searcher's is not ours to pass on.
                if status not in _PROMISES:
                    headers = answer_headers(response.headers)
                    return HttpResponse(status, headers, response.body)
        is_late = result.reason is FailureReason.DEADLINE
        status = GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
        return HttpResponse(status, retry_headers(self.identifier, None))


def _retry_after(result: ServiceFailure | NotAnswered) -> timedelta:
    match result:
        case NotAnswered(retry_after=timedelta() as named):
            return named
        case _:
            return _RETRY_AFTER[result.reason]

"""Builds the caller's response from the result of a request."""

from datetime import timedelta

from foxtailseam.dispatch import (
    NOT_RUN_STATUSES,
    FailureReason,
    MergedAnswer,
    NotAnswered,
    ServiceAnswer,
    ServiceFailure,
)
from foxtailseam.http import HttpResponse
from foxtailseam.platform import (
    forwarded_headers,
    local_response_headers,
    merged_response_headers,
)

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# Retry-After of a refusal whose result carries no delay of its own.
_DEFAULT_RETRY_AFTER = {
    FailureReason.NO_SEARCHER: timedelta(milliseconds=500),
    FailureReason.SHED: timedelta(milliseconds=100),
    FailureReason.RATE_LIMITED: timedelta(milliseconds=500),
    FailureReason.PAUSED: timedelta(milliseconds=500),
    FailureReason.BUDGET: timedelta(milliseconds=200),
    FailureReason.LOST: timedelta(milliseconds=100),
    FailureReason.ERROR: timedelta(milliseconds=100),
    FailureReason.DEADLINE: timedelta(milliseconds=100),
    FailureReason.OVERLOADED: timedelta(milliseconds=200),
    FailureReason.QUARANTINED: timedelta(seconds=2),
    FailureReason.ISOLATED: timedelta(milliseconds=300),
    # Another host can take it at once.
    FailureReason.STOPPING: timedelta(milliseconds=50),
}


class ResponseBuilder:
    """Builds the possible responses to one request.

    Parameters
    ----------
    identifier : bytes
        Value of the caller's request identifier header; empty if there is none.
    """

    def __init__(self, identifier: bytes):
        self.identifier = identifier

    def bad_request(self) -> HttpResponse:
        """Return the 400 response to a request without a valid identifier."""
        return HttpResponse(BAD_REQUEST, local_response_headers(self.identifier, None))

    def no_route(self) -> HttpResponse:
        """Return the 404 response to a request that matches no route."""
        return HttpResponse(NOT_FOUND, local_response_headers(self.identifier, None))

    def refused(self, retry_after: timedelta) -> HttpResponse:
        """Return the 503 response to a request that was not run.

        Parameters
        ----------
        retry_after : timedelta
            Value of the Retry-After header.
        """
        return HttpResponse(
            UNAVAILABLE, local_response_headers(self.identifier, retry_after)
        )

    def merged(self, result: MergedAnswer) -> HttpResponse:
        """Return the 200 response with the records merged from the shards."""
        headers = merged_response_headers(
            self.identifier, result.stamps, result.missing
        )
        return HttpResponse(OK, headers, result.records)

    def forwarded(self, result: ServiceAnswer) -> HttpResponse:
        """Return a searcher's response with the hop-by-hop headers removed."""
        response = result.response
        headers = forwarded_headers(response.headers)
        return HttpResponse(
            response.status, headers, response.body, response.reservation
        )

    def failed(self, result: ServiceFailure | NotAnswered) -> HttpResponse:
        """Return the response to a request that failed.

        It is a 503 if the request was not run. Otherwise it is a searcher's own
        failure response, unless that states that the request was not run, or a
        502 or 504 of this host.

        Parameters
        ----------
        result : ServiceFailure or NotAnswered
            Why the request failed, and whether it may have run.
        """
        if not result.may_have_run:
            return self.refused(_retry_after(result))
        match result:
            case ServiceFailure(response=HttpResponse(status=status) as response):
                # The request may have run, so a searcher's statement that it was
                # not run must not be passed on.
                if status not in NOT_RUN_STATUSES:
                    headers = forwarded_headers(response.headers)
                    return HttpResponse(
                        status, headers, response.body, response.reservation
                    )
        is_late = result.reason is FailureReason.DEADLINE
        status = GATEWAY_TIMEOUT if is_late else BAD_GATEWAY
        return HttpResponse(status, local_response_headers(self.identifier, None))


def _retry_after(result: ServiceFailure | NotAnswered) -> timedelta:
    if result.retry_after is not None:
        return result.retry_after
    return _DEFAULT_RETRY_AFTER[result.reason]

"""Conversion of requests that hosts forward to one another."""

from collections.abc import Callable

from foxtailseam.clocks import Clock
from foxtailseam.dispatch import NOT_RUN_STATUSES, FailureReason, NotAnswered
from foxtailseam.forwarding import (
    HOP_SECONDS,
    Forwarded,
    ForwardedRequest,
    ForwardedResponse,
    ForwardResult,
    NotForwarded,
    Unavailability,
)
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.http import Call, ForwardContext, HttpRequest, HttpResponse


class _ResponseSink:
    """Takes the response to a forwarded request."""

    def __init__(self, done: Callable[[ForwardedResponse], None]):
        self.done = done

    def respond(self, response: HttpResponse) -> None:
        """Pass the response on."""
        self.done(ForwardedResponse(response.status, response.headers, response.body))


def to_message(
    routed: RoutedRequest, sender: str, failure_domain: str, attempts: int, now: float
) -> ForwardedRequest:
    """Return the message that asks another host to serve a request.

    Parameters
    ----------
    routed : RoutedRequest
        The request.
    sender : str
        ``IP:PORT`` of this host.
    failure_domain : str
        Failure domain of this host.
    attempts : int
        Largest number of searchers of each service that may still be asked.
    now : float
        Current monotonic time in seconds.
    """
    request = routed.call.request
    return ForwardedRequest(
        sender=sender,
        failure_domain=failure_domain,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        elapsed_ms=(now - request.arrived_at) * 1000,
        network_ms=(request.network_delay or 0.0) * 1000,
        version=routed.version,
        attempts=attempts,
    )


def to_call(
    message: ForwardedRequest,
    clock: Clock,
    done: Callable[[ForwardedResponse], None],
    decline: Callable[[int], None],
) -> Call:
    """Return the call that serves another host's request on this one.

    Parameters
    ----------
    message : ForwardedRequest
        What the other host sent.
    clock : Clock
        Source of monotonic time.
    done : callable
        Called with the response.
    decline : callable
        Gives the request back; see `ForwardContext`.
    """
    request = HttpRequest(
        message.method,
        message.target,
        message.headers,
        message.body,
        clock.monotonic() - max(0.0, message.elapsed_ms) / 1000,
        message.network_ms / 1000 + HOP_SECONDS,
    )
    context = ForwardContext(message.sender, message.attempts, decline)
    return Call(request, _ResponseSink(done), context)


def to_failure(result: ForwardResult, may_have_run: bool) -> NotAnswered | None:
    """Return the failure that the result of forwarding amounts to, if it is one.

    Parameters
    ----------
    result : ForwardResult
        Result of forwarding.
    may_have_run : bool
        Whether the request may have run before it was forwarded.
    """
    match result:
        case NotForwarded(reason=reason, may_have_run=True):
            is_late = reason is Unavailability.LOST
            return NotAnswered(
                FailureReason.DEADLINE if is_late else FailureReason.LOST, True
            )
        case NotForwarded(retry_after=retry_after):
            return NotAnswered(FailureReason.ISOLATED, may_have_run, retry_after)
        case Forwarded(is_refused=True) if may_have_run:
            # The other host cannot know that the request may have run here.
            return NotAnswered(FailureReason.ISOLATED, True)
        case Forwarded(is_refused=False, response=response) if (
            response.status in NOT_RUN_STATUSES
        ):
            # An earlier release passes this on from a searcher that may have run it.
            return NotAnswered(FailureReason.ERROR, True)
        case Forwarded():
            return None

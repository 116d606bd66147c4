"""Ends requests whose handling fails in a way that nobody foresaw."""

from collections.abc import Callable

from foxtailseam.dispatch import FailureReason, NotAnswered
from foxtailseam.front._request_log import AnyQuery
from foxtailseam.front._responses import ResponseBuilder
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.front._running_requests import RunningRequests
from foxtailseam.http import Call, find_header
from foxtailseam.logs import EventCode
from foxtailseam.platform import REQUEST_ID_HEADER
from foxtailseam.supervision import FailureLog
from foxtailseam.utils import MAX_TEXT_LENGTH

# The request may have run, so the response promises nothing.
_UNKNOWN_OUTCOME = NotAnswered(FailureReason.ERROR, True)


class RequestGuard:
    """Answers a request at once, and forgets it, when a step of its handling raises.

    Parameters
    ----------
    running : RunningRequests
        Requests that are in progress.
    failures : FailureLog
        Receives the errors.
    discard_admission : callable
        Ends the admission of a query whose result says nothing about the load.
    """

    def __init__(
        self,
        running: RunningRequests,
        failures: FailureLog,
        discard_admission: Callable[[RoutedRequest, AnyQuery], None],
    ):
        self.running = running
        self.failures = failures
        self.discard_admission = discard_admission

    def run(self, call: Call, step: Callable[..., object], *args: object) -> None:
        """Call a function that handles a request.

        Parameters
        ----------
        call : Call
            The request.
        step : callable
            Function to call.
        *args
            Its arguments.
        """
        try:
            step(*args)
        except Exception as error:
            self._fail(call, error)

    def _fail(self, call: Call, error: Exception) -> None:
        identifier = find_header(call.request.headers, REQUEST_ID_HEADER) or b""
        self._record(identifier, error)
        routed = self.running.find_by_call(call)
        if routed is not None:
            query = self.running.remove(routed)
            self._clean_up(identifier, query.cancel)
            self._clean_up(identifier, self.discard_admission, routed, query)
        call.respond(ResponseBuilder(identifier).failed(_UNKNOWN_OUTCOME))

    def _clean_up(
        self, identifier: bytes, step: Callable[..., object], *args: object
    ) -> None:
        try:
            step(*args)
        except Exception as error:
            self._record(identifier, error)

    def _record(self, identifier: bytes, error: Exception) -> None:
        self.failures.record(
            EventCode.REQUEST_BROKEN,
            "handle request",
            error,
            identifier[:MAX_TEXT_LENGTH].decode("latin-1"),
        )

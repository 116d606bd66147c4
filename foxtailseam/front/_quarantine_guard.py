"""Quarantines requests that crash searchers.

Such a request is first run alone, and refused if searchers crash again.
"""

from collections.abc import Callable
from datetime import timedelta

from foxtailseam.dispatch import Searcher
from foxtailseam.http import HttpRequest
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.quarantine import (
    QuarantineController,
    SuspicionState,
    fingerprint_of,
)

# How long a request that crashed searchers twice is refused.
QUARANTINE_DURATION = timedelta(minutes=10)


class QuarantineGuard:
    """Records crashes of searchers and provides the suspicion state of requests.

    Parameters
    ----------
    quarantine : QuarantineController
        Suspicion states of requests by fingerprint, shared among hosts.
    log : LogWriter
        Log that receives an event for each crash.

    Attributes
    ----------
    on_update : callable
        Called when a suspicion state has changed and should be sent to the other
        hosts.
    """

    def __init__(self, quarantine: QuarantineController, log: LogWriter):
        self.quarantine = quarantine
        self.log = log
        self.on_update: Callable[[], None] = lambda: None

    def state(self, request: HttpRequest) -> SuspicionState:
        """Return whether a request is clear, suspect or quarantined."""
        return self.quarantine.state(_fingerprint(request))

    def record_crash(self, searcher: Searcher, request: HttpRequest) -> None:
        """Record that a searcher crashed while it ran a request."""
        fingerprint = _fingerprint(request)
        runs_alone = self.quarantine.state(fingerprint) is SuspicionState.SUSPECT
        has_changed = self.quarantine.record_loss(
            fingerprint, QUARANTINE_DURATION, runs_alone
        )
        state = self.quarantine.state(fingerprint)
        self.log.write(
            EventCode.SEARCHER_LOST,
            searcher=searcher.entry.identifier,
            fingerprint=fingerprint,
            state=state,
        )
        if has_changed:
            self.on_update()

    def record_survival(self, request: HttpRequest) -> None:
        """Record that a searcher answered a request, which clears it if suspect."""
        if self.quarantine.record_survival(_fingerprint(request)):
            self.on_update()


def _fingerprint(request: HttpRequest) -> str:
    request_line = b"%b %b" % (request.method, request.target)
    endpoint = f"{request.host} {request_line.decode('latin-1')}"
    return fingerprint_of(endpoint, request.body.decode("latin-1"))

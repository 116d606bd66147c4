"""Requests that crash searchers: run alone at first, then refused."""

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
QUARANTINE_LIFE = timedelta(minutes=10)


class SuspicionGuard:
    """Decides how a request runs by what it did to searchers before.

    Parameters
    ----------
    quarantine : QuarantineController
        What is known of requests, shared among hosts.
    log : LogWriter
        Where each loss is told.
    """

    def __init__(self, quarantine: QuarantineController, log: LogWriter):
        self.quarantine = quarantine
        self.log = log
        self.on_news: Callable[[], None] = lambda: None

    def state(self, request: HttpRequest) -> SuspicionState:
        """Return how a request is to be treated."""
        return self.quarantine.state(_fingerprint(request))

    def crashed(self, searcher: Searcher, request: HttpRequest) -> None:
        """Take note that a searcher crashed while it ran a request."""
        fingerprint = _fingerprint(request)
        is_alone = self.quarantine.state(fingerprint) is SuspicionState.SUSPECT
        is_news = self.quarantine.record_loss(fingerprint, QUARANTINE_LIFE, is_alone)
        state = self.quarantine.state(fingerprint)
        self.log.write(
            EventCode.SEARCHER_LOST,
            searcher=searcher.entry.identifier,
            fingerprint=fingerprint,
            state=state,
        )
        if is_news:
            self.on_news()

    def survived(self, request: HttpRequest) -> None:
        """Take note that a searcher answered a suspected request."""
        if self.quarantine.record_survival(_fingerprint(request)):
            self.on_news()


def _fingerprint(request: HttpRequest) -> str:
    line = b"%b %b" % (request.method, request.target)
    family = f"{request.host} {line.decode('latin-1')}"
    return fingerprint_of(family, request.body.decode("latin-1"))

"""Log events and metrics of a host's process that belong to no single request."""

from foxtailseam.dispatch import Searcher
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.store import Position, ReadFailure


class HostLog:
    """Writes events on the configuration service, searchers and unreadable requests.

    Parameters
    ----------
    log : LogWriter
        Log that receives the events.
    metrics : Metrics
        Registry of the counters.
    """

    def __init__(self, log: LogWriter, metrics: Metrics):
        self.log = log
        self.metrics = metrics

    def record_service_lost(self, reason: str) -> None:
        """Record that the configuration service does not answer."""
        self.metrics.add("service_losses")
        self.log.write(EventCode.SERVICE_LOST, reason=reason)

    def record_service_regained(self, position: Position) -> None:
        """Record that the configuration service answers again."""
        self.log.write(
            EventCode.SERVICE_REGAINED, era=position.era, revision=position.revision
        )

    def record_era(self, position: Position, source: str) -> None:
        """Record that the configuration service has come back from an older copy.

        Parameters
        ----------
        position : Position
            Its position now.
        source : str
            ``service`` or the address of the host that relayed this.
        """
        self.metrics.add("service_eras_started")
        self.log.write(
            EventCode.ERA_STARTED,
            era=position.era,
            revision=position.revision,
            source=source,
        )

    def record_read_failure(self, failure: ReadFailure, revision: int) -> None:
        """Record that one read of the configuration service failed.

        Parameters
        ----------
        failure : ReadFailure
            Why, and when the next read follows.
        revision : int
            Revision that this host has.
        """
        self.metrics.add("service_read_failures")
        self.log.write(
            EventCode.READ_FAILED,
            reason=failure.reason,
            ms=round(failure.elapsed * 1000),
            failures=failure.failures,
            pause_ms=round(failure.pause * 1000),
            revision=revision,
        )

    def record_ejected(self, searcher: Searcher) -> None:
        """Record that a searcher is avoided after failures."""
        self.metrics.add("searchers_ejected")
        self.log.write(
            EventCode.SEARCHER_EJECTED,
            searcher=searcher.entry.identifier,
            service=searcher.entry.service,
            failure_share=round(searcher.health.failure_share, 2),
            slowness=round(searcher.health.slowness, 1),
        )

    def record_unreadable_request(self, status: int) -> None:
        """Record that the listener rejected a request with a status."""
        self.metrics.add(f"answers_{status}")
        self.log.write(EventCode.REQUEST_UNREADABLE, status=status)

"""Whether the load balancer may send callers to a host, and the page that tells it."""

from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.http import Call, HttpResponse
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.platform import READY_TARGET


class Readiness:
    """Readiness of a host: it has a configuration and is not stopping.

    Parameters
    ----------
    configuration_manager : ConfigurationManager
        Source of the active configuration.
    log : LogWriter
        Log that receives an event for each change.
    """

    def __init__(self, configuration_manager: ConfigurationManager, log: LogWriter):
        self._configuration_manager = configuration_manager
        self._log = log
        self._is_stopping = False
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this host."""
        return (
            self._configuration_manager.configuration is not None
            and not self._is_stopping
        )

    def stop(self) -> None:
        """Be ready no more, as the host stops."""
        self._is_stopping = True

    def log_change(self) -> None:
        """Log the readiness if it has changed."""
        is_ready = self.is_ready
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            self._log.write(EventCode.READINESS_CHANGED, ready=is_ready)

    def handle(self, call: Call) -> None:
        """Answer a readiness check."""
        is_known_target = call.request.target == READY_TARGET
        status = (200 if self.is_ready else 503) if is_known_target else 404
        call.respond(HttpResponse(status))

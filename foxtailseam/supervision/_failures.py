"""Log events and metrics of failures that nobody foresaw."""

from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.utils import describe_error

# Counters by the event of the failure.
_COUNTERS = {
    EventCode.TASK_FAILED: "task_failures",
    EventCode.CALLBACK_FAILED: "callback_failures",
    EventCode.CHANGE_FAILED: "change_failures",
    EventCode.REQUEST_BROKEN: "request_errors",
}
# Time after its last failure in which work counts as failing.
FAILING_TIME = timedelta(seconds=10)
# Names of failing work that are kept; the oldest are forgotten first.
MAX_NAMES = 1_000


class FailureLog:
    """Logs and counts failures, and tells how much work fails at present.

    Parameters
    ----------
    log : LogWriter
        Log that receives the events.
    metrics : Metrics
        Registry of the counters.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, log: LogWriter, metrics: Metrics, clock: Clock):
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self._failed_at: dict[str, float] = {}

    @property
    def failing(self) -> int:
        """Return how many kinds of work have failed lately."""
        since = self.clock.monotonic() - FAILING_TIME.total_seconds()
        return sum(failed_at > since for failed_at in self._failed_at.values())

    def record(
        self,
        code: EventCode,
        name: str,
        error: BaseException,
        request_id: str = "",
        **fields: object,
    ) -> None:
        """Record a failure.

        Parameters
        ----------
        code : EventCode
            Event to log.
        name : str
            What failed, the field `task` of the event.
        error : BaseException
            Why.
        request_id : str
            Identifier of the request that failed, or empty.
        **fields : object
            Further fields of the event.
        """
        self._failed_at.pop(name, None)
        self._failed_at[name] = self.clock.monotonic()
        if len(self._failed_at) > MAX_NAMES:
            del self._failed_at[next(iter(self._failed_at))]
        self.metrics.add(_COUNTERS[code])
        self.log.write(code, request_id, task=name, **fields, **describe_error(error))

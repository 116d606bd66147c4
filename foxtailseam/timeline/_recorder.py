"""Records events into a bounded ring in memory and into the log."""

from collections import deque

from logbook import Logger

from foxtailseam.clocks import Clock, HybridClock
from foxtailseam.logs import EventCode, Severity
from foxtailseam.timeline._events import Event

DEFAULT_CAPACITY = 4096


class Recorder:
    """The one place where a process reports what happens in it.

    Parameters
    ----------
    host, process, incarnation : str
        Identity of the process.
    clock : Clock
        Source of time.
    hybrid : HybridClock
        The process's hybrid clock, shared with its messages.
    capacity : int
        Events kept; the oldest is dropped first.
    """

    def __init__(
        self,
        host: str,
        process: str,
        incarnation: str,
        clock: Clock,
        hybrid: HybridClock,
        capacity: int = DEFAULT_CAPACITY,
    ):
        self.host = host
        self.process = process
        self.incarnation = incarnation
        self.clock = clock
        self.hybrid = hybrid
        self.capacity = capacity
        self._events: deque[Event] = deque(maxlen=capacity)
        self._logger = Logger("foxtailseam")
        self._writers = {
            Severity.DEBUG: self._logger.debug,
            Severity.INFO: self._logger.info,
            Severity.WARNING: self._logger.warning,
            Severity.ERROR: self._logger.error,
        }

    @property
    def events(self) -> tuple[Event, ...]:
        """Return the events kept, oldest first."""
        return tuple(self._events)

    def record(self, code: EventCode, request_id: str = "", **fields: object) -> None:
        """Record an event with its facts."""
        event = Event(
            stamp=self.hybrid.tick(),
            wall=self.clock.now().isoformat(timespec="milliseconds"),
            monotonic=self.clock.monotonic(),
            number=code.number,
            name=code.name.lower().replace("_", "-"),
            host=self.host,
            process=self.process,
            incarnation=self.incarnation,
            request_id=request_id,
            fields={key: str(value) for key, value in fields.items()},
        )
        self._events.append(event)
        if code.severity is not Severity.DEBUG:
            self._log(code, event)

    def _log(self, code: EventCode, event: Event) -> None:
        extra = {
            "event": event.number,
            "host": event.host,
            "process": event.process,
            "request": event.request_id,
            **event.fields,
        }
        self._writers[code.severity](event.name, extra=extra)

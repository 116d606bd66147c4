"""Records events in a ring buffer in memory and in the log."""

from collections import deque

from logbook import Logger

from foxtailseam.clocks import Clock, HybridClock
from foxtailseam.logs import EventCode, Severity
from foxtailseam.timeline._events import Event

DEFAULT_CAPACITY = 4096


class Recorder:
    """Records the events of a process.

    All events are kept in a ring buffer; those above severity DEBUG are also
    written to the log.

    Parameters
    ----------
    host, process, incarnation : str
        Identity of the process.
    clock : Clock
        Source of wall-clock and monotonic time.
    hybrid_clock : HybridClock
        Source of hybrid timestamps; must be the clock that also stamps the
        messages of the process.
    capacity : int
        Maximum number of events to keep; the oldest are dropped first.
    """

    def __init__(
        self,
        host: str,
        process: str,
        incarnation: str,
        clock: Clock,
        hybrid_clock: HybridClock,
        capacity: int = DEFAULT_CAPACITY,
    ):
        self.host = host
        self.process = process
        self.incarnation = incarnation
        self.clock = clock
        self.hybrid_clock = hybrid_clock
        self.capacity = capacity
        self._events: deque[Event] = deque(maxlen=capacity)
        self._logger = Logger("foxtailseam")
        self._log_methods = {
            Severity.DEBUG: self._logger.debug,
            Severity.INFO: self._logger.info,
            Severity.WARNING: self._logger.warning,
            Severity.ERROR: self._logger.error,
        }

    @property
    def events(self) -> tuple[Event, ...]:
        """Return the events in the ring buffer, oldest first."""
        return tuple(self._events)

    def record(self, code: EventCode, request_id: str = "", **fields: object) -> None:
        """Record an event.

        Parameters
        ----------
        code : EventCode
            Event of the catalogue.
        request_id : str
            Identifier of the request that the event belongs to, or empty.
        **fields : object
            Additional fields; converted to text with ``str``.
        """
        event = Event(
            stamp=self.hybrid_clock.tick(),
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
        self._log_methods[code.severity](event.name, extra=extra)

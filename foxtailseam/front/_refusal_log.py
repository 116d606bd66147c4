"""Log events on values of the configuration service that cannot be used."""

from dataclasses import dataclass

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.store import Position
from foxtailseam.utils import ValidationProblem, shorten

# Shortest time between two lines on one field of a key.
MIN_INTERVAL_SECONDS = 10.0
# Keys whose last problem is remembered; the oldest one is forgotten first.
MAX_KEYS = 1_000


@dataclass(frozen=True, slots=True)
class _Refusal:
    problem: ValidationProblem
    logged_at: float


class RefusalLog:
    """Writes an event for each key whose value cannot be used.

    The same problem of a key is logged once until the key has a usable value, other
    values of the same field at most every `MIN_INTERVAL_SECONDS`.

    Parameters
    ----------
    log : LogWriter
        Log that receives the events.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, log: LogWriter, clock: Clock):
        self.log = log
        self.clock = clock
        # By key, oldest first.
        self._refusals: dict[str, _Refusal] = {}

    def record(
        self,
        code: EventCode,
        key: str,
        position: Position,
        problem: ValidationProblem,
    ) -> None:
        """Log that the value of a key was refused, unless that is known.

        Parameters
        ----------
        code : EventCode
            Event to log.
        key : str
            Key of the configuration service.
        position : Position
            Position at which the value was written.
        problem : ValidationProblem
            Why the value cannot be used.
        """
        now = self.clock.monotonic()
        last = self._refusals.get(key)
        if last is not None:
            is_soon = now - last.logged_at < MIN_INTERVAL_SECONDS
            is_same_field = problem.parameter == last.problem.parameter
            if problem == last.problem or (is_soon and is_same_field):
                return
        self._remember(key, _Refusal(problem, now))
        self.log.write(
            code,
            key=shorten(key),
            era=position.era,
            revision=position.revision,
            field=problem.parameter,
            found=problem.found,
            expected=problem.expected,
        )

    def forget(self, key: str) -> None:
        """Handle that a key has a usable value, or none."""
        self._refusals.pop(key, None)

    def _remember(self, key: str, refusal: _Refusal) -> None:
        self._refusals.pop(key, None)
        self._refusals[key] = refusal
        if len(self._refusals) > MAX_KEYS:
            del self._refusals[next(iter(self._refusals))]

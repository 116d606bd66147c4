"""What the hosts tell one another about the limits of searchers.

Most hosts send nothing to a limited searcher, so they do not see its answers.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxtailseam.clocks import Clock

# Maximum number of notices in one message.
MAX_NOTICES = 64
# Seconds after an answer for which it is passed on. The end of a limit is kept as long
# as the limit itself, so that no host hears of the limit again afterwards.
RETENTION_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Limit of a searcher as one of its answers named it, relayed by hosts.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    started_ms : int
        Start time of the searcher's process; tells runs with one identifier apart.
    limit : float or None
        Requests per second that it accepts from all hosts together; None for no limit.
    age_ms : int
        Milliseconds since the answer, by the clocks of the hosts that relayed it.
    """

    searcher: str
    started_ms: int
    limit: float | None
    age_ms: int


@dataclass(frozen=True, slots=True)
class _Observation:
    started_ms: int
    limit: float | None
    observed_at: float


class LimitObservations:
    """The newest known answer of each searcher about its limit.

    Only searchers that have named a limit are kept.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Chooses the notices of a message if there are too many.
    """

    def __init__(self, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        # Called with a notice of another host that is newer than what was known.
        self.on_notice: Callable[[LimitNotice], None] = lambda notice: None
        self._observations: dict[str, _Observation] = {}

    def record(self, searcher: str, started_ms: int, limit: float | None) -> None:
        """Record the limit that an answer to this host named, or None for none.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        started_ms : int
            Start time of the searcher's process, in Unix milliseconds.
        limit : float or None
            Requests per second that it accepts from all hosts together.
        """
        if limit is not None or searcher in self._observations:
            now = self.clock.monotonic()
            self._observations[searcher] = _Observation(started_ms, limit, now)

    def limit(self, searcher: str, started_ms: int) -> float | None:
        """Return the known limit of a searcher, or None if it is not known to have one.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        started_ms : int
            Start time of the searcher's process, in Unix milliseconds.
        """
        known = self._observations.get(searcher)
        if known is None or known.started_ms != started_ms:
            return None
        return known.limit

    def notices(self) -> tuple[LimitNotice, ...]:
        """Return up to `MAX_NOTICES` notices for another host."""
        now = self.clock.monotonic()
        self._remove_expired(now)
        notices = [
            LimitNotice(
                searcher,
                known.started_ms,
                known.limit,
                int((now - known.observed_at) * 1000),
            )
            for searcher, known in self._observations.items()
        ]
        if len(notices) > MAX_NOTICES:
            notices = self.generator.sample(notices, MAX_NOTICES)
        return tuple(notices)

    def merge(self, notices: Iterable[LimitNotice]) -> None:
        """Merge the notices of another host; pass newer ones to `on_notice`."""
        now = self.clock.monotonic()
        for notice in notices:
            observed_at = now - notice.age_ms / 1000
            known = self._observations.get(notice.searcher)
            if known is not None and known.observed_at >= observed_at:
                continue
            self._observations[notice.searcher] = _Observation(
                notice.started_ms, notice.limit, observed_at
            )
            self.on_notice(notice)

    def _remove_expired(self, now: float) -> None:
        for searcher, known in list(self._observations.items()):
            if now - known.observed_at > RETENTION_SECONDS:
                del self._observations[searcher]

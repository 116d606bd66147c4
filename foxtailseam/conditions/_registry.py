"""Registry of the conditions of all searchers on one host."""

import random
from collections.abc import Callable

from foxtailseam.clocks import Clock
from foxtailseam.conditions._model import SearcherConditions
from foxtailseam.conditions._notices import (
    ConditionNotice,
    ConditionNotices,
    LeavingNotice,
    LimitNotice,
    PauseNotice,
)

# Maximum number of notices of each kind in one message.
MAX_NOTICES = 64
# Seconds for which hosts tell one another that a searcher is leaving.
LEAVING_NOTICE_SECONDS = 30.0
# Maximum number of runs of one searcher whose conditions are kept.
MAX_RUNS = 4

# Returns the notice of one kind on a searcher's conditions at a time, if there is one.
NoticeBuilder = Callable[[str, SearcherConditions, float], ConditionNotice | None]


class ConditionRegistry:
    """Conditions that searchers reported to this host or, by gossip, to others.

    Only searchers that have reported something are kept. Each run of a searcher has
    conditions of its own: a start time may be wrong, so that none is the latest for
    sure.

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
        # Called with the identifier of a searcher whose conditions another host's
        # notice has changed.
        self.on_notice: Callable[[str], None] = lambda searcher: None
        # By searcher and start time; the run that has changed last is the last one.
        self._known: dict[str, dict[int, SearcherConditions]] = {}

    def get(self, searcher: str, started_ms: int) -> SearcherConditions | None:
        """Return the conditions of one run of a searcher; None if there are none.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        started_ms : int
            Start time of the searcher's process, in Unix milliseconds.
        """
        known = self._known.get(searcher, {}).get(started_ms)
        if known is None:
            return None
        known = known.without_expired(self.clock.monotonic())
        return None if known.is_empty else known

    def record(self, searcher: str, conditions: SearcherConditions) -> bool:
        """Merge conditions that a searcher reported; return whether this changed any.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        conditions : SearcherConditions
            What its response said.
        """
        started_ms = conditions.started_ms
        known = self._known.get(searcher, {}).get(started_ms)
        merged = conditions if known is None else known.join(conditions)
        if merged == known or merged.is_empty:
            return False
        runs = self._known.setdefault(searcher, {})
        runs.pop(started_ms, None)
        runs[started_ms] = merged
        if len(runs) > MAX_RUNS:
            del runs[next(iter(runs))]
        return True

    def notices(self) -> ConditionNotices:
        """Return up to `MAX_NOTICES` notices of each kind for another host."""
        now = self.clock.monotonic()
        self._remove_expired(now)
        return ConditionNotices(
            self._select(_limit_notice, now),
            self._select(_leaving_notice, now),
            self._select(_pause_notice, now),
        )

    def merge(self, notices: ConditionNotices) -> None:
        """Merge the notices of another host; report changed searchers to `on_notice`.

        Notices that have expired on the way are ignored.
        """
        now = self.clock.monotonic()
        for notice in notices.all:
            conditions = notice.to_conditions(now).without_expired(now)
            if self.record(notice.searcher, conditions):
                self.on_notice(notice.searcher)

    def _select(
        self, build_notice: NoticeBuilder, now: float
    ) -> tuple[ConditionNotice, ...]:
        """Return the notices of one kind, a random choice if there are too many."""
        notices = [
            notice
            for searcher, runs in self._known.items()
            for known in runs.values()
            if (notice := build_notice(searcher, known, now)) is not None
        ]
        if len(notices) > MAX_NOTICES:
            notices = self.generator.sample(notices, MAX_NOTICES)
        return tuple(notices)

    def _remove_expired(self, now: float) -> None:
        current = {
            searcher: _without_expired(runs, now)
            for searcher, runs in self._known.items()
        }
        self._known = {searcher: runs for searcher, runs in current.items() if runs}


def _without_expired(
    runs: dict[int, SearcherConditions], now: float
) -> dict[int, SearcherConditions]:
    current = (known.without_expired(now) for known in runs.values())
    return {known.started_ms: known for known in current if not known.is_empty}


def _limit_notice(
    searcher: str, known: SearcherConditions, now: float
) -> LimitNotice | None:
    limit = known.rate_limit
    if limit is None:
        return None
    age_ms = _milliseconds(now - limit.observed_at)
    return LimitNotice(searcher, known.started_ms, limit.rate, age_ms)


def _leaving_notice(
    searcher: str, known: SearcherConditions, now: float
) -> LeavingNotice | None:
    if known.leaving is None or now - known.leaving.since >= LEAVING_NOTICE_SECONDS:
        return None
    age_ms = _milliseconds(now - known.leaving.since)
    return LeavingNotice(searcher, known.started_ms, age_ms)


def _pause_notice(
    searcher: str, known: SearcherConditions, now: float
) -> PauseNotice | None:
    pauses = [item for item in (known.pause, known.peer_pause) if item is not None]
    if not pauses:
        return None
    ends_at = max(pause.ends_at for pause in pauses)
    return PauseNotice(searcher, known.started_ms, _milliseconds(ends_at - now))


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)

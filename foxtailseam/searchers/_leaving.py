"""Drain signals of searchers, shared among the system's processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock

NOTICE_LIFE = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A searcher that said that it leaves, and how long that is to be believed."""

    searcher: str
    remaining_ms: int


class LeavingSearchers:
    """What was heard of leaving searchers; it ends work and never starts it.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._until: dict[str, float] = {}

    @property
    def searchers(self) -> tuple[str, ...]:
        """Return the searchers that get no new work."""
        current = self.clock.monotonic()
        self._until = {
            searcher: until
            for searcher, until in self._until.items()
            if until > current
        }
        return tuple(self._until)

    def note(self, searcher: str) -> bool:
        """Take note of a drain signal; tell whether it is news."""
        is_news = searcher not in self.searchers
        self._extend(searcher, NOTICE_LIFE)
        return is_news

    def notices(self) -> tuple[LeavingNotice, ...]:
        """Return what peers should know."""
        current = self.clock.monotonic()
        return tuple(
            LeavingNotice(searcher, int((self._until[searcher] - current) * 1000))
            for searcher in self.searchers
        )

    def merge(self, notices: Iterable[LeavingNotice]) -> bool:
        """Merge what a peer knows; tell whether it was news."""
        known = set(self.searchers)
        for notice in notices:
            remaining = timedelta(milliseconds=notice.remaining_ms)
            self._extend(notice.searcher, min(remaining, NOTICE_LIFE))
        return not known.issuperset(self.searchers)

    def _extend(self, searcher: str, remaining: timedelta) -> None:
        until = self.clock.monotonic() + remaining.total_seconds()
        self._until[searcher] = max(until, self._until.get(searcher, 0.0))

"""Drain signals of searchers, exchanged between processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock

NOTICE_LIFETIME = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """Message to a peer: a searcher has reported that it is shutting down.

    Parameters
    ----------
    searcher : str
        ``IP:PORT`` of the searcher.
    remaining_ms : int
        Time until the notice expires, in milliseconds.
    """

    searcher: str
    remaining_ms: int


class LeavingSearchers:
    """Drain signals received by this process or its peers.

    A drain signal stops new requests to a searcher and expires after
    `NOTICE_LIFETIME`. Its expiry does not start them again.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._expires_at: dict[str, float] = {}

    @property
    def searchers(self) -> tuple[str, ...]:
        """Return the addresses of searchers with an unexpired drain signal."""
        now = self.clock.monotonic()
        self._expires_at = {
            searcher: expires_at
            for searcher, expires_at in self._expires_at.items()
            if expires_at > now
        }
        return tuple(self._expires_at)

    def add(self, searcher: str) -> bool:
        """Record a drain signal that this process received.

        Parameters
        ----------
        searcher : str
            ``IP:PORT`` of the searcher.

        Returns
        -------
        bool
            True if there was no unexpired signal of this searcher before.
        """
        is_new = searcher not in self.searchers
        self._extend(searcher, NOTICE_LIFETIME)
        return is_new

    def notices(self) -> tuple[LeavingNotice, ...]:
        """Return the notices to send to peers, one for each leaving searcher."""
        now = self.clock.monotonic()
        return tuple(
            LeavingNotice(searcher, int((self._expires_at[searcher] - now) * 1000))
            for searcher in self.searchers
        )

    def merge(self, notices: Iterable[LeavingNotice]) -> bool:
        """Merge the notices of a peer.

        Parameters
        ----------
        notices : iterable of LeavingNotice
            Notices received; their remaining time is capped at
            `NOTICE_LIFETIME`.

        Returns
        -------
        bool
            True if a searcher had no unexpired signal before.
        """
        previous = set(self.searchers)
        for notice in notices:
            remaining = timedelta(milliseconds=notice.remaining_ms)
            self._extend(notice.searcher, min(remaining, NOTICE_LIFETIME))
        return not previous.issuperset(self.searchers)

    def _extend(self, searcher: str, remaining: timedelta) -> None:
        expires_at = self.clock.monotonic() + remaining.total_seconds()
        self._expires_at[searcher] = max(
            expires_at, self._expires_at.get(searcher, 0.0)
        )

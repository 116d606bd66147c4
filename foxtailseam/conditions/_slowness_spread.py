"""Which notices of slow searchers a message carries, within a bound on their rate."""

import random
from collections.abc import Callable, Collection, Iterable

from foxtailseam.clocks import Clock

# Notices that a host sends in a second on average, and at once. At 100 bytes each they
# stay under 3 KB a second.
NOTICES_PER_SECOND = 24.0
MAX_BURST = 64.0
# Notices that a host may send before it starts an exchange for news.
MIN_ROOM = 40.0
# Messages in which a host passes a changed notice on: twice the logarithm of the number
# of hosts. One of another host with the same notice counts as one of them.
MAX_SENDS = 16
# So many notices go into each message: there is room, and a host that misses several
# renewals in a row would use the searcher again.
FEW_NOTICES = 8
# Seconds of progress of the latest measurement that make a notice worth passing on
# again if nothing else has changed.
RENEWAL_SECONDS = 2.0

# Identifier and start time of a searcher.
RunKey = tuple[str, int]


class SlownessSpread:
    """Chooses the notices of a message: those first that were sent least often.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Decides between notices that were sent equally often.
    """

    def __init__(self, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        # Messages in which each notice was sent, and the time of the measurement that
        # made it worth sending.
        self._sends: dict[RunKey, int] = {}
        self._spread_at: dict[RunKey, float] = {}
        self._tokens = MAX_BURST
        self._refilled_at = clock.monotonic()

    @property
    def has_room(self) -> bool:
        """Return whether the next messages can carry news."""
        self._refill()
        return self._tokens >= MIN_ROOM

    def record_change(self, key: RunKey, observed_at: float, is_news: bool) -> None:
        """Count a notice as changed.

        Parameters
        ----------
        key : tuple of str, int
            Identifier and start time of the searcher.
        observed_at : float
            Monotonic time of its latest measurement, in seconds.
        is_news : bool
            Whether more has changed than the time of a measurement.
        """
        if is_news or observed_at - self._spread_at[key] >= RENEWAL_SECONDS:
            self._sends[key] = 0
            self._spread_at[key] = observed_at

    def record_duplicate(self, key: RunKey) -> None:
        """Count a notice that another host has sent, too, as known to more hosts."""
        if key in self._sends:
            self._sends[key] += 1

    def retain(self, keys: Collection[RunKey]) -> None:
        """Forget the notices of all other searchers."""
        for key in [key for key in self._sends if key not in keys]:
            del self._sends[key], self._spread_at[key]

    def select(
        self,
        keys: Iterable[RunKey],
        is_known: Callable[[RunKey], bool],
        is_complete: bool,
    ) -> list[RunKey]:
        """Return the searchers whose notices go into a message.

        Parameters
        ----------
        keys : iterable of tuple of str, int
            Searchers of which there is a notice.
        is_known : callable
            Returns whether the receiver has the notice of a searcher already.
        is_complete : bool
            Whether the receiver has just started and gets what there is.
        """
        if is_complete:
            return self._least_sent(keys)[: int(MAX_BURST)]
        self._refill()
        unknown = [key for key in keys if not is_known(key)]
        waiting = [
            key
            for key in unknown
            if len(unknown) <= FEW_NOTICES or self._sends[key] < MAX_SENDS
        ]
        chosen = self._least_sent(waiting)[: int(self._tokens)]
        self._tokens -= len(chosen)
        for key in chosen:
            self._sends[key] += 1
        return chosen

    def _refill(self) -> None:
        now = self.clock.monotonic()
        gained = NOTICES_PER_SECOND * (now - self._refilled_at)
        self._tokens = min(MAX_BURST, self._tokens + gained)
        self._refilled_at = now

    def _least_sent(self, keys: Iterable[RunKey]) -> list[RunKey]:
        return sorted(keys, key=lambda key: (self._sends[key], self.generator.random()))

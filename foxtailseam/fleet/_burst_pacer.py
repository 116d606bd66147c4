"""Limits how often a host exchanges gossip with several others at once."""

from foxtailseam.clocks import Clock

# Shortest time between two such rounds of exchanges, in seconds. News that arrives in
# between is spread by the next round.
BURST_INTERVAL_SECONDS = 0.5


class BurstPacer:
    """Decides when the next round of exchanges is due.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._last_at = float("-inf")
        self._is_planned = False

    def plan(self) -> float | None:
        """Plan a round and return the seconds until it; None if one is planned."""
        if self._is_planned:
            return None
        self._is_planned = True
        due_at = self._last_at + BURST_INTERVAL_SECONDS
        return max(0.0, due_at - self.clock.monotonic())

    def start(self) -> None:
        """Count the planned round as started."""
        self._is_planned = False
        self._last_at = self.clock.monotonic()

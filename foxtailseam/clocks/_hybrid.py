"""Hybrid logical clock: orders events of many processes, cause before effect."""

import threading
from dataclasses import dataclass

from foxtailseam.clocks._clock import Clock


@dataclass(frozen=True, order=True, slots=True)
class HybridTimestamp:
    """A point in hybrid logical time.

    Parameters
    ----------
    wall_ms : int
        Highest wall time seen, in milliseconds since the epoch.
    counter : int
        Number that orders events within one millisecond.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Issues timestamps greater than every one issued or received before.

    Parameters
    ----------
    clock : Clock
        Source of wall time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._lock = threading.Lock()
        self._last = HybridTimestamp(0, 0)

    def tick(self) -> HybridTimestamp:
        """Return the timestamp for a local event or a message to send."""
        return self.receive(HybridTimestamp(0, 0))

    def receive(self, remote: HybridTimestamp) -> HybridTimestamp:
        """Return a timestamp after both the local past and `remote`."""
        with self._lock:
            wall_ms = int(self.clock.now().timestamp() * 1000)
            highest = max(self._last, remote)
            if wall_ms > highest.wall_ms:
                self._last = HybridTimestamp(wall_ms, 0)
            else:
                self._last = HybridTimestamp(highest.wall_ms, highest.counter + 1)
            return self._last

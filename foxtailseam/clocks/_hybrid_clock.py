"""Hybrid logical clock: orders events of many processes consistently with causality."""

import threading
from dataclasses import dataclass

from foxtailseam.clocks._clock import Clock
from foxtailseam.utils import Integer


@dataclass(frozen=True, order=True, slots=True)
class HybridTimestamp:
    """Timestamp of a hybrid logical clock; totally ordered.

    Parameters
    ----------
    wall_ms : int
        Highest wall time seen so far, in milliseconds since the Unix epoch.
    counter : int
        Counter that orders events with the same `wall_ms`, from 0.
    """

    wall_ms: Integer
    counter: Integer


class HybridClock:
    """Issues timestamps greater than all that it issued or received before.

    Thread-safe.

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
        """Return the timestamp of a local event or of a message to send."""
        return self.receive(HybridTimestamp(0, 0))

    def receive(self, remote: HybridTimestamp) -> HybridTimestamp:
        """Return the timestamp of the receipt of a message.

        It is greater than all earlier local timestamps and than `remote`, the
        timestamp of the message.
        """
        with self._lock:
            wall_ms = int(self.clock.now().timestamp() * 1000)
            highest = max(self._last, remote)
            if wall_ms > highest.wall_ms:
                self._last = HybridTimestamp(wall_ms, 0)
            else:
                self._last = HybridTimestamp(highest.wall_ms, highest.counter + 1)
            return self._last

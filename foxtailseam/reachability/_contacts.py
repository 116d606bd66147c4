"""When this host last heard from any searcher, and which have failed it since."""

import math
from collections.abc import Callable

from foxtailseam.clocks import Clock


class ContactTracker:
    """Signs of life of all searchers together, and the lack of them.

    A response, even a rejection or a malformed one, is a contact: it shows that the
    links of this host work. So is an opened connection.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        # Called when one more searcher has failed.
        self.on_failure: Callable[[], None] = lambda: None
        self._last_response_at = clock.monotonic()
        self._last_connected_at = clock.monotonic()
        # Searchers that have not answered since the last contact.
        self._silent: set[str] = set()
        # Searchers that could not be connected to since a connection was last opened.
        self._unconnectable: set[str] = set()
        self._unconnectable_since = math.inf

    @property
    def last_contact_at(self) -> float:
        """Return the monotonic time of the last contact, or else of the start."""
        return max(self._last_response_at, self._last_connected_at)

    @property
    def age(self) -> float:
        """Return the seconds since the last contact."""
        return self.clock.monotonic() - self.last_contact_at

    @property
    def silent(self) -> int:
        """Return the number of searchers that have not answered since the contact."""
        return len(self._silent)

    @property
    def unconnectable(self) -> int:
        """Return the number of searchers that could not be connected to since then."""
        return len(self._unconnectable)

    @property
    def responds_without_connecting(self) -> bool:
        """Return whether a response came after the first failed connection attempt."""
        return self._last_response_at > self._unconnectable_since

    def record_response(self, now: float) -> None:
        """Record that a searcher has sent something.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        self._last_response_at = now
        self._silent.clear()

    def record_connected(self) -> None:
        """Record that a connection to a searcher was opened."""
        self._last_connected_at = self.clock.monotonic()
        self._silent.clear()
        self._unconnectable.clear()
        self._unconnectable_since = math.inf

    def record_silence(self, searcher: str) -> None:
        """Record that a searcher's answer is overdue or its connection broke."""
        self._silent.add(searcher)
        self.on_failure()

    def record_connect_failure(self, searcher: str) -> None:
        """Record that no connection to a searcher could be opened."""
        if not self._unconnectable:
            self._unconnectable_since = self.clock.monotonic()
        self._unconnectable.add(searcher)
        self.on_failure()

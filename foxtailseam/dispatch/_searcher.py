"""One searcher as this host uses it."""

from collections.abc import Callable
from typing import Protocol

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.clocks import Clock
from foxtailseam.dispatch._choice import Candidate
from foxtailseam.dispatch._health import SearcherHealth
from foxtailseam.http import ExchangeResult

# Requests beyond a searcher's slots that one host sends there: they fill the
# time in which answers and requests are on their way.
IN_TRANSIT = 2


class PendingExchange(Protocol):
    """A request on its way."""

    @property
    def is_sent(self) -> bool:
        """Return whether a byte of it may have left."""

    def cancel(self) -> None:
        """Give it up."""


class SearcherLink(Protocol):
    """The connections to one searcher."""

    limit: int

    @property
    def has_idle(self) -> bool:
        """Return whether a request can be sent without a new connection."""

    @property
    def has_room(self) -> bool:
        """Return whether a request can be sent at all."""

    def send(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: Callable[[ExchangeResult], None],
    ) -> PendingExchange:
        """Send a request; `done` gets the result."""

    def probe(self, done: Callable[[bool], None]) -> None:
        """Find out whether the searcher accepts connections."""

    def retire(self) -> None:
        """Close each connection once it has no request in flight."""


class Searcher:
    """A searcher, its connections and what was seen of it.

    Parameters
    ----------
    entry : SearcherEntry
        As published.
    link : SearcherLink
        The connections.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, entry: SearcherEntry, link: SearcherLink, clock: Clock):
        self.entry = entry
        self.link = link
        self.clock = clock
        self.health = SearcherHealth(clock)
        # Whether its published entry went missing.
        self.is_lapsed = False
        self._warm_at = clock.monotonic() + entry.warmup.total_seconds()
        # Requests in flight, the oldest first: when sent, and the typical time.
        self._in_flight: dict[int, tuple[float, float]] = {}
        self._numbers = 0

    @property
    def in_flight(self) -> int:
        """Return how many of this host's requests are there."""
        return len(self._in_flight)

    @property
    def has_room(self) -> bool:
        """Return whether one more request may be sent."""
        most = self.entry.slots + IN_TRANSIT
        return self.in_flight < most and self.link.has_room

    def update(self, entry: SearcherEntry) -> None:
        """Take a changed entry of the same run."""
        self.entry = entry
        self._warm_at = self.clock.monotonic() + entry.warmup.total_seconds()

    def begin(self, typical: float) -> int:
        """Count a request as sent; return its number."""
        self._numbers += 1
        self._in_flight[self._numbers] = (self.clock.monotonic(), typical)
        return self._numbers

    def end(self, number: int) -> float:
        """Count a request as over; return how long it took in seconds."""
        sent_at, _ = self._in_flight.pop(number)
        return self.clock.monotonic() - sent_at

    def is_stalled(self) -> bool:
        """Return whether the oldest request is overdue."""
        sent_at, typical = next(iter(self._in_flight.values()), (None, 0.0))
        return self.health.is_stalled(sent_at, typical)

    def candidate(self, failure_domain: str) -> Candidate:
        """Return this searcher as the choice sees it.

        Parameters
        ----------
        failure_domain : str
            Failure domain of this host.
        """
        health = self.health
        return Candidate(
            identifier=self.entry.identifier,
            slowness=health.slowness,
            failure_share=health.failure_share,
            in_flight=self.in_flight,
            slots=self.entry.slots,
            is_near=self.entry.failure_domain == failure_domain,
            has_connection=self.link.has_idle,
            is_warming=self.clock.monotonic() < self._warm_at,
            is_stalled=self.is_stalled(),
            is_lapsed=self.is_lapsed,
            is_ejected=health.is_ejected,
        )

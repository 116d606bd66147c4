"""State of one searcher on this host."""

import math
from collections.abc import Callable
from typing import Protocol

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.clocks import Clock
from foxtailseam.dispatch._gate import SearcherGate
from foxtailseam.dispatch._health import SearcherHealth
from foxtailseam.dispatch._searcher_selection import Candidate
from foxtailseam.http import ExchangeResult
from foxtailseam.locality import DistanceCosts

# Number of requests beyond its slots that one host sends to a searcher, so that the
# slots stay busy while requests and answers are in transit.
EXTRA_IN_TRANSIT = 2


class PendingExchange(Protocol):
    """A request in progress."""

    @property
    def is_sent(self) -> bool:
        """Return whether any byte of the request may have been sent."""

    def cancel(self) -> None:
        """Abort the request."""


class SearcherPool(Protocol):
    """Pool of the connections to one searcher; `limit` is the maximum number."""

    limit: int

    @property
    def has_idle(self) -> bool:
        """Return whether an idle connection is available."""

    @property
    def has_capacity(self) -> bool:
        """Return whether a connection is idle or can be opened."""

    def send(
        self,
        payload: Callable[[], bytes],
        identifier: bytes,
        is_head: bool,
        done: Callable[[ExchangeResult], None],
    ) -> PendingExchange:
        """Send a request.

        Parameters
        ----------
        payload : callable
            Returns the bytes of the request when they are about to be sent.
        identifier : bytes
            Identifier of the request, which the response must carry.
        is_head : bool
            Whether this is a HEAD request, whose response has no body.
        done : callable
            Called once with the result.
        """

    def probe(self, done: Callable[[bool], None]) -> None:
        """Call `done` with whether the searcher accepts connections."""

    def connect(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Open a connection, which stays in the pool.

        Parameters
        ----------
        timeout : float
            Longest time to wait, in seconds.
        done : callable
            Called once with whether the connection was opened.
        """

    def retire(self) -> None:
        """Close each connection as soon as it has no request in flight."""


class Searcher:
    """A searcher with its connections, health and requests in flight.

    Parameters
    ----------
    entry : SearcherEntry
        Published entry of the searcher.
    pool : SearcherPool
        Connections to the searcher.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, entry: SearcherEntry, pool: SearcherPool, clock: Clock):
        self.entry = entry
        self.pool = pool
        self.clock = clock
        self.health = SearcherHealth(clock)
        # Whether the published entry is missing.
        self.is_lapsed = False
        # None if no conditions are known and its requests are not bounded.
        self.gate: SearcherGate | None = None
        self._warmup_ends_at = clock.monotonic() + entry.warmup.total_seconds()
        # End of the cold period; minus infinity if it was never cold.
        self.cold_until = self._warmup_ends_at if entry.warmup else -math.inf
        # Requests in flight by number, oldest first: time of sending and median
        # response time of the route.
        self._in_flight: dict[int, tuple[float, float]] = {}
        self._last_number = 0
        # What withdraws each request that had to open a connection, by number; kept
        # until the request ends.
        self._withdrawals: dict[int, Callable[[], bool]] = {}

    @property
    def identifier(self) -> str:
        """Return the identifier of the searcher."""
        return self.entry.identifier

    @property
    def in_flight(self) -> int:
        """Return the number of requests of this host in flight at the searcher."""
        return len(self._in_flight)

    @property
    def has_capacity(self) -> bool:
        """Return whether there is room for one more request; see also `is_open`."""
        max_in_flight = self.entry.slots + EXTRA_IN_TRANSIT
        return len(self._in_flight) < max_in_flight and self.pool.has_capacity

    @property
    def is_open(self) -> bool:
        """Return whether the conditions that the searcher reported allow a request."""
        return self.gate is None or self.gate.wait(self.clock.monotonic()) <= 0.0

    def connect(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Open a connection; see `SearcherPool.connect`."""
        self.pool.connect(timeout, done)

    def update(self, entry: SearcherEntry) -> None:
        """Replace the entry by a newer one of the same process run."""
        self.entry = entry
        self._warmup_ends_at = self.clock.monotonic() + entry.warmup.total_seconds()
        if entry.warmup:
            self.cold_until = self._warmup_ends_at
        else:
            self.cold_until = min(self.cold_until, self._warmup_ends_at)

    def begin_request(self, median_time: float, now: float) -> int:
        """Count a request as sent and return its number.

        Parameters
        ----------
        median_time : float
            Median response time of the request's route, in seconds.
        now : float
            Current monotonic time in seconds.
        """
        if self.gate is not None:
            self.gate.take(now)
        self._last_number += 1
        self._in_flight[self._last_number] = (now, median_time)
        return self._last_number

    def end_request(self, number: int, now: float) -> float:
        """Count a request as ended and return its duration in seconds.

        Parameters
        ----------
        number : int
            Number of the request.
        now : float
            Current monotonic time in seconds.
        """
        sent_at, _ = self._in_flight.pop(number)
        if self._withdrawals:
            self._withdrawals.pop(number, None)
        return now - sent_at

    def on_withdrawal(self, number: int, withdraw: Callable[[], bool]) -> None:
        """Set what withdraws a request whose connection is being opened.

        Parameters
        ----------
        number : int
            Number of the request.
        withdraw : callable
            Withdraws the request unless it is sent; returns whether it did.
        """
        self._withdrawals[number] = withdraw

    def withdraw_unsent(self) -> int:
        """Withdraw the requests whose connections are being opened.

        They go to other searchers, or fail as requests that were not run.

        Returns
        -------
        int
            Number of requests withdrawn.
        """
        withdrawals, self._withdrawals = self._withdrawals, {}
        return sum([withdraw() for withdraw in withdrawals.values()])

    def is_stalled(self, now: float) -> bool:
        """Return whether the oldest request is overdue without a response since.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        if not self._in_flight:
            return False
        sent_at, median_time = next(iter(self._in_flight.values()))
        return self.health.is_stalled(sent_at, median_time, now)

    def slowness_at(self, now: float) -> float:
        """Return the slowness by this host's measurements and those of others.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        own = self.health.slowness_at(now)
        if self.gate is None or self.gate.slowness is None:
            return own
        return self.gate.slowness.apply(own, self.health.last_response_at, now)

    def candidate(self, distance_costs: DistanceCosts, now: float) -> Candidate:
        """Return a snapshot of this searcher for the selection.

        Parameters
        ----------
        distance_costs : DistanceCosts
            Cost of the request in each failure domain.
        now : float
            Current monotonic time in seconds.
        """
        health = self.health
        entry = self.entry
        gate = self.gate
        shared = None if gate is None else gate.slowness
        is_probing = shared is not None and shared.is_probing(now)
        # A request that probes the searcher goes there from any failure domain.
        distance_cost = 0.0 if is_probing else distance_costs[entry.failure_domain]
        return Candidate(
            entry.identifier,
            health.slowness_at(now) if shared is None else self.slowness_at(now),
            health.failure_share_at(now),
            len(self._in_flight),
            entry.slots,
            distance_cost,
            self.pool.has_idle,
            now < self._warmup_ends_at,
            self.is_stalled(now),
            self.is_lapsed,
            health.is_ejected_at(now),
        )

"""State, slots and latency of one searcher, as seen by a gather process."""

from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.searchers._budget import RateLimiter
from foxtailseam.searchers._client import SearcherClient
from foxtailseam.searchers._latency import LatencyWindow
from foxtailseam.searchers._state import (
    SearcherEvent,
    SearcherState,
    SearcherStateMachine,
)

FAILURES_TO_EJECT = 5
WARMUP_ANSWERS = 20
SMOOTHING_FACTOR = 0.2
MAX_DROPS_PER_SECOND = 1.0
PROBE_INTERVAL_SECONDS = 1.0
HIGH_SHED_RATE = 0.1
MISSING_VERSION_SECONDS = 1.0


class Searcher:
    """State, slots and latency of one searcher, as seen by this process.

    Must be used from a single event loop.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the searcher.
    slots : int
        Maximum number of requests in flight while the searcher is ready.
    connections : int
        Connection limit passed to the client.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, address: str, slots: int, connections: int, clock: Clock):
        self.address = address
        self.slots = slots
        self.connections = connections
        self.clock = clock
        self._client = SearcherClient(address, connections, clock)
        self._state_machine = SearcherStateMachine(clock)
        self._latency = LatencyWindow(clock)
        self._drop_limiter = RateLimiter(MAX_DROPS_PER_SECOND, 2.0, clock)
        self._in_flight = 0
        self._incarnation = ""
        self._failures = 0
        self._warmup_answers = 0
        self._smoothed_seconds: float | None = None
        self._last_used_at = float("-inf")
        self._shed_rate = 0.0
        self._missing_versions: dict[int, float] = {}

    @property
    def client(self) -> SearcherClient:
        """Return the HTTP client of the searcher."""
        return self._client

    @property
    def state(self) -> SearcherState:
        """Return the current state; an expired ejection is ended first."""
        return self._state_machine.state

    @property
    def is_due_for_health_check(self) -> bool:
        """Return whether the health of a leaving searcher should be queried."""
        return self._state_machine.is_due_for_health_check

    @property
    def in_flight(self) -> int:
        """Return the number of slots that this process holds."""
        return self._in_flight

    @property
    def latency(self) -> LatencyWindow:
        """Return the window of recent latencies."""
        return self._latency

    @property
    def smoothed_latency(self) -> timedelta | None:
        """Return the moving average of the latency, or None before the first value."""
        if self._smoothed_seconds is None:
            return None
        return timedelta(seconds=self._smoothed_seconds)

    @property
    def limit(self) -> int:
        """Return the maximum number of requests in flight in the current state.

        It is 0 for a leaving or ejected searcher.
        """
        limits = {
            SearcherState.READY: self.slots,
            SearcherState.WARMING: max(1, self.slots // 2),
            SearcherState.PROBING: 1,
        }
        return limits.get(self.state, 0)

    @property
    def has_free_slot(self) -> bool:
        """Return whether another request may be sent."""
        return self._in_flight < self.limit

    @property
    def is_due_for_probe(self) -> bool:
        """Return whether no slot was acquired for `PROBE_INTERVAL_SECONDS`."""
        return self.clock.monotonic() - self._last_used_at >= PROBE_INTERVAL_SECONDS

    @property
    def sheds_often(self) -> bool:
        """Return whether the smoothed shed rate exceeds `HIGH_SHED_RATE`."""
        return self._shed_rate > HIGH_SHED_RATE

    def holds_version(self, index_version: int) -> bool:
        """Return False if the searcher recently lacked an index version.

        Parameters
        ----------
        index_version : int
            Index version to look up.

        Returns
        -------
        bool
            False for `MISSING_VERSION_SECONDS` after the version was missing.
        """
        missing_until = self._missing_versions.get(index_version, float("-inf"))
        return self.clock.monotonic() >= missing_until

    def acquire_slot(self) -> None:
        """Increase the number of requests in flight."""
        self._in_flight += 1
        self._last_used_at = self.clock.monotonic()

    def release_slot(self) -> None:
        """Decrease the number of requests in flight."""
        self._in_flight -= 1

    def apply(self, event: SearcherEvent) -> bool:
        """Apply an event; return whether the state changed."""
        return self._state_machine.apply(event)

    def record_answer(self, duration: timedelta, incarnation: str) -> bool:
        """Record an answered request.

        Parameters
        ----------
        duration : timedelta
            Time from sending the request to the answer.
        incarnation : str
            Identifier of the searcher process that answered.

        Returns
        -------
        bool
            Whether the state changed.
        """
        self._failures = 0
        self._update_shed_rate(False)
        self._latency.record(duration)
        seconds = duration.total_seconds()
        previous = seconds if self._smoothed_seconds is None else self._smoothed_seconds
        self._smoothed_seconds = previous + SMOOTHING_FACTOR * (seconds - previous)
        is_new = bool(self._incarnation) and incarnation != self._incarnation
        self._incarnation = incarnation
        if is_new:
            self._warmup_answers = 0
            return self.apply(SearcherEvent.NEW_INCARNATION)
        self._warmup_answers += 1
        if self._warmup_answers >= WARMUP_ANSWERS:
            return self.apply(SearcherEvent.WARMED)
        return self.apply(SearcherEvent.ANSWERED)

    def record_shed(self) -> None:
        """Record a request that the searcher rejected."""
        self._update_shed_rate(True)

    def record_missing_version(self, index_version: int) -> None:
        """Record that the searcher does not hold an index version.

        Parameters
        ----------
        index_version : int
            The missing version.
        """
        now = self.clock.monotonic()
        self._missing_versions = {
            version: until
            for version, until in self._missing_versions.items()
            if until > now
        }
        self._missing_versions[index_version] = now + MISSING_VERSION_SECONDS

    def record_timeout(self, duration: timedelta) -> None:
        """Record a request that timed out.

        Raises the average latency if `duration` is above it; never lowers it.

        Parameters
        ----------
        duration : timedelta
            Time from sending the request to the timeout.
        """
        seconds = duration.total_seconds()
        if self._smoothed_seconds is None or seconds > self._smoothed_seconds:
            previous = self._smoothed_seconds or seconds
            self._smoothed_seconds = previous + SMOOTHING_FACTOR * (seconds - previous)

    def record_failure(self) -> bool:
        """Record a failed request.

        Every `FAILURES_TO_EJECT` failures without an answer in between apply
        `SearcherEvent.FAILED_OFTEN`.

        Returns
        -------
        bool
            Whether the state changed.
        """
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return False
        self._failures = 0
        return self.apply(SearcherEvent.FAILED_OFTEN)

    def drop_connections(self) -> bool:
        """Replace all connections, at a limited rate.

        Returns
        -------
        bool
            False if the rate limit was reached and nothing was done.
        """
        if not self._drop_limiter.withdraw():
            return False
        self._client.drop_connections()
        return True

    def _update_shed_rate(self, shed: bool) -> None:
        self._shed_rate += SMOOTHING_FACTOR * (shed - self._shed_rate)

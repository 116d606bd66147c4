"""What a gather keeps of one searcher."""

from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.searchers._budget import RateBudget
from foxtailseam.searchers._client import SearcherClient
from foxtailseam.searchers._latency import LatencyWindow
from foxtailseam.searchers._state import (
    SearcherEvent,
    SearcherState,
    SearcherStateMachine,
)

FAILURES_TO_EJECT = 5
WARMING_ANSWERS = 20
SMOOTHING = 0.2
DROPS_A_SECOND = 1.0
PROBE_SECONDS = 1.0
POOR_SHED_SHARE = 0.1
VERSION_MEMORY_SECONDS = 1.0


class Searcher:
    """State, slots and latency of one searcher; used from the event loop only.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the searcher.
    slots : int
        Requests that it runs at a time.
    connections : int
        Connections kept to it.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, address: str, slots: int, connections: int, clock: Clock):
        self.address = address
        self.slots = slots
        self.connections = connections
        self.clock = clock
        self._client = SearcherClient(address, connections, clock)
        self._machine = SearcherStateMachine(clock)
        self._latency = LatencyWindow(clock)
        self._drops = RateBudget(DROPS_A_SECOND, 2.0, clock)
        self._in_flight = 0
        self._incarnation = ""
        self._failures = 0
        self._warm_answers = 0
        self._smoothed: float | None = None
        self._used_at = float("-inf")
        self._shed_share = 0.0
        self._missing_versions: dict[int, float] = {}

    @property
    def client(self) -> SearcherClient:
        """Return the client that owns the connections."""
        return self._client

    @property
    def state(self) -> SearcherState:
        """Return the state."""
        return self._machine.state

    @property
    def wants_health_check(self) -> bool:
        """Return whether a leaving searcher may be asked if it came back."""
        return self._machine.wants_health_check

    @property
    def in_flight(self) -> int:
        """Return how many slots are taken from here."""
        return self._in_flight

    @property
    def latency(self) -> LatencyWindow:
        """Return the recent latency."""
        return self._latency

    @property
    def smoothed_latency(self) -> timedelta | None:
        """Return the smoothed latency, or None before the first answer."""
        if self._smoothed is None:
            return None
        return timedelta(seconds=self._smoothed)

    @property
    def limit(self) -> int:
        """Return how many requests may be in flight in the present state."""
        limits = {
            SearcherState.READY: self.slots,
            SearcherState.WARMING: max(1, self.slots // 2),
            SearcherState.PROBING: 1,
        }
        return limits.get(self.state, 0)

    @property
    def has_free_slot(self) -> bool:
        """Return whether one more request may be sent."""
        return self._in_flight < self.limit

    @property
    def due_for_probe(self) -> bool:
        """Return whether the searcher was left unused long enough to try it."""
        return self.clock.monotonic() - self._used_at >= PROBE_SECONDS

    @property
    def sheds_often(self) -> bool:
        """Return whether it turned away a good share of its latest requests."""
        return self._shed_share > POOR_SHED_SHARE

    def holds_version(self, index_version: int) -> bool:
        """Return False if it lacked an index version a moment ago."""
        missing_until = self._missing_versions.get(index_version, float("-inf"))
        return self.clock.monotonic() >= missing_until

    def take_slot(self) -> None:
        """Count a request as in flight."""
        self._in_flight += 1
        self._used_at = self.clock.monotonic()

    def free_slot(self) -> None:
        """Count a request as ended."""
        self._in_flight -= 1

    def apply(self, event: SearcherEvent) -> bool:
        """Apply an event; tell whether the state changed."""
        return self._machine.apply(event)

    def answered(self, duration: timedelta, incarnation: str) -> bool:
        """Take note of an answer; tell whether the state changed."""
        self._failures = 0
        self._note_shed(False)
        self._latency.record(duration)
        seconds = duration.total_seconds()
        before = seconds if self._smoothed is None else self._smoothed
        self._smoothed = before + SMOOTHING * (seconds - before)
        is_new = bool(self._incarnation) and incarnation != self._incarnation
        self._incarnation = incarnation
        if is_new:
            self._warm_answers = 0
            return self.apply(SearcherEvent.NEW_INCARNATION)
        self._warm_answers += 1
        if self._warm_answers >= WARMING_ANSWERS:
            return self.apply(SearcherEvent.WARMED)
        return self.apply(SearcherEvent.ANSWERED)

    def shed(self) -> None:
        """Take note of a request that it turned away."""
        self._note_shed(True)

    def lacked_version(self, index_version: int) -> None:
        """Take note that it does not answer from an index version."""
        current = self.clock.monotonic()
        self._missing_versions = {
            version: until
            for version, until in self._missing_versions.items()
            if until > current
        }
        self._missing_versions[index_version] = current + VERSION_MEMORY_SECONDS

    def slowed(self, duration: timedelta) -> None:
        """Take note of a request given up after `duration`."""
        seconds = duration.total_seconds()
        if self._smoothed is None or seconds > self._smoothed:
            before = self._smoothed or seconds
            self._smoothed = before + SMOOTHING * (seconds - before)

    def failed(self) -> bool:
        """Take note of a failure; tell whether the searcher is ejected now."""
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT:
            return False
        self._failures = 0
        return self.apply(SearcherEvent.FAILED_OFTEN)

    def drop_connections(self) -> bool:
        """Replace the connections, unless that was done too often lately."""
        if not self._drops.withdraw():
            return False
        self._client.drop_connections()
        return True

    def _note_shed(self, shed: bool) -> None:
        self._shed_share += SMOOTHING * (shed - self._shed_share)

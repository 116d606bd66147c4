"""All searchers that this gather uses."""

from collections.abc import Callable, Iterable

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.searchers._leaving import LeavingSearchers
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._state import SearcherEvent, SearcherState
from foxtailseam.timeline import Recorder

MAX_EJECTED_SHARE = 0.5


class SearcherController:
    """Keeps the searchers and applies what is learnt of them.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    recorder : Recorder
        Where changes of state are reported.
    leaving : LeavingSearchers
        Drain signals, also those that peers have seen.
    spread : callable
        Tells the peers of a new drain signal.
    """

    def __init__(
        self,
        clock: Clock,
        recorder: Recorder,
        leaving: LeavingSearchers,
        spread: Callable[[], None],
    ):
        self.clock = clock
        self.recorder = recorder
        self.leaving = leaving
        self.spread = spread
        self._searchers: dict[str, Searcher] = {}
        self._listed_leaving: frozenset[str] = frozenset()

    @property
    def searchers(self) -> tuple[Searcher, ...]:
        """Return all searchers used so far."""
        return tuple(self._searchers.values())

    def find(self, address: str, slots: int, connections: int) -> Searcher:
        """Return the searcher at `address`."""
        searcher = self._searchers.get(address)
        if searcher is None:
            searcher = Searcher(address, slots, connections, self.clock)
            self._searchers[address] = searcher
            if address in self._leaving_addresses():
                self.apply(searcher, SearcherEvent.LISTED_LEAVING)
        return searcher

    def apply(self, searcher: Searcher, event: SearcherEvent) -> None:
        """Apply an event and report a change of state."""
        self.report(searcher, event, searcher.apply(event))

    def drain_signal(self, searcher: Searcher) -> None:
        """Take note that a searcher itself said that it leaves."""
        self.apply(searcher, SearcherEvent.DRAIN_SIGNAL)
        if self.leaving.note(searcher.address):
            self.spread()

    def report(self, searcher: Searcher, event: SearcherEvent, changed: bool) -> None:
        """Report a change of state, if there was one."""
        if changed:
            self.recorder.record(
                EventCode.SEARCHER_STATE,
                searcher=searcher.address,
                state=searcher.state,
                event=event,
            )

    def failed(self, searcher: Searcher) -> None:
        """Take note of a failure; eject unless too many are ejected already."""
        if self._ejected_share() < MAX_EJECTED_SHARE:
            event = SearcherEvent.FAILED_OFTEN
            self.report(searcher, event, searcher.failed())

    def update_listed_leaving(self, leaving: Iterable[str]) -> None:
        """Apply a new list of leaving searchers."""
        self._listed_leaving = frozenset(leaving)
        self.refresh_leaving()

    def refresh_leaving(self) -> None:
        """Keep those leaving that the list or a peer names.

        To be called more often than the hold of a leaving searcher.
        """
        for address in self._leaving_addresses():
            searcher = self._searchers.get(address)
            if searcher is not None:
                self.apply(searcher, SearcherEvent.LISTED_LEAVING)

    def health_checked(self, searcher: Searcher, is_ready: bool) -> None:
        """Apply what a leaving searcher's health endpoint said."""
        if is_ready:
            self.apply(searcher, SearcherEvent.HEALTH_READY)
        else:
            self.drain_signal(searcher)

    def close(self) -> None:
        """Close all connections."""
        for searcher in self._searchers.values():
            searcher.client.close()

    def _leaving_addresses(self) -> frozenset[str]:
        return self._listed_leaving.union(self.leaving.searchers)

    def _ejected_share(self) -> float:
        states = [searcher.state for searcher in self._searchers.values()]
        return states.count(SearcherState.EJECTED) / len(states)

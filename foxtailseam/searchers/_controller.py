"""Registry of the searchers that a gather process uses."""

from collections.abc import Callable, Iterable

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.searchers._leaving import LeavingSearchers
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._state import SearcherEvent, SearcherState
from foxtailseam.timeline import Recorder

MAX_EJECTED_SHARE = 0.5


class SearcherController:
    """Creates the searchers, applies events to them and reports state changes.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    recorder : Recorder
        Receives an event for each state change.
    leaving : LeavingSearchers
        Drain signals received by this process and by its peers.
    notify_peers : callable
        Called without arguments after a new drain signal, to send it to peers.
    """

    def __init__(
        self,
        clock: Clock,
        recorder: Recorder,
        leaving: LeavingSearchers,
        notify_peers: Callable[[], None],
    ):
        self.clock = clock
        self.recorder = recorder
        self.leaving = leaving
        self.notify_peers = notify_peers
        self._searchers: dict[str, Searcher] = {}
        self._listed_leaving: frozenset[str] = frozenset()

    @property
    def searchers(self) -> tuple[Searcher, ...]:
        """Return all searchers created so far."""
        return tuple(self._searchers.values())

    def get_or_create(self, address: str, slots: int, connections: int) -> Searcher:
        """Return the searcher at `address`; create it on first use.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the searcher.
        slots : int
            Maximum number of concurrent requests; ignored if it exists already.
        connections : int
            Connection limit; ignored if the searcher exists already.

        Returns
        -------
        Searcher
            The existing or new searcher.
        """
        searcher = self._searchers.get(address)
        if searcher is None:
            searcher = Searcher(address, slots, connections, self.clock)
            self._searchers[address] = searcher
            if address in self._leaving_addresses():
                self.apply(searcher, SearcherEvent.LISTED_LEAVING)
        return searcher

    def apply(self, searcher: Searcher, event: SearcherEvent) -> None:
        """Apply an event to a searcher and report a state change."""
        self.report(searcher, event, searcher.apply(event))

    def record_drain_signal(self, searcher: Searcher) -> None:
        """Record that a searcher reported that it is shutting down.

        Peers are notified unless an earlier signal has not expired.
        """
        self.apply(searcher, SearcherEvent.DRAIN_SIGNAL)
        if self.leaving.add(searcher.address):
            self.notify_peers()

    def report(self, searcher: Searcher, event: SearcherEvent, changed: bool) -> None:
        """Report a state change to the recorder.

        Parameters
        ----------
        searcher : Searcher
            Searcher that the event was applied to.
        event : SearcherEvent
            Event that was applied.
        changed : bool
            Whether the state changed; if not, nothing is reported.
        """
        if changed:
            self.recorder.record(
                EventCode.SEARCHER_STATE,
                searcher=searcher.address,
                state=searcher.state,
                event=event,
            )

    def record_failure(self, searcher: Searcher) -> None:
        """Record a failed request; repeated failures eject the searcher.

        The failure is ignored while at least `MAX_EJECTED_SHARE` of all searchers
        are ejected.
        """
        if self._ejected_share() < MAX_EJECTED_SHARE:
            event = SearcherEvent.FAILED_OFTEN
            self.report(searcher, event, searcher.record_failure())

    def update_listed_leaving(self, leaving: Iterable[str]) -> None:
        """Replace the published list of leaving searchers.

        Parameters
        ----------
        leaving : iterable of str
            ``IP:PORT`` of each searcher on the list.
        """
        self._listed_leaving = frozenset(leaving)
        self.refresh_leaving()

    def refresh_leaving(self) -> None:
        """Mark searchers as leaving that the list or a drain signal names.

        Must be called at intervals shorter than `MIN_LEAVING_TIME`; each call
        restarts that time.
        """
        for address in self._leaving_addresses():
            searcher = self._searchers.get(address)
            if searcher is not None:
                self.apply(searcher, SearcherEvent.LISTED_LEAVING)

    def record_health_check(self, searcher: Searcher, is_ready: bool) -> None:
        """Apply the result of a health check of a leaving searcher.

        Parameters
        ----------
        searcher : Searcher
            Searcher that was checked.
        is_ready : bool
            Whether its health endpoint accepts new requests.
        """
        if is_ready:
            self.apply(searcher, SearcherEvent.HEALTH_READY)
        else:
            self.record_drain_signal(searcher)

    def close(self) -> None:
        """Close the connections to all searchers."""
        for searcher in self._searchers.values():
            searcher.client.close()

    def _leaving_addresses(self) -> frozenset[str]:
        return self._listed_leaving.union(self.leaving.searchers)

    def _ejected_share(self) -> float:
        states = [searcher.state for searcher in self._searchers.values()]
        return states.count(SearcherState.EJECTED) / len(states)

"""Choice of the coordinator of a query."""

from collections.abc import Callable

from foxtailseam.delegation._capacity import saved_seconds
from foxtailseam.forwarding import PeerHost, PeerSelector


class CoordinatorSelector:
    """Chooses among the hosts of the failure domain at which a query saves time.

    Other failure domains are not considered: the records of an answer would cross
    between domains twice.

    Parameters
    ----------
    selector : PeerSelector
        Knows which hosts are avoided and how many queries each has.
    own_rate : int
        Calls to shards that this host can send in a second; 0 if unknown.
    hosts : callable
        Returns the alive hosts other than this one; a new object after each change.
    """

    def __init__(
        self,
        selector: PeerSelector,
        own_rate: int,
        hosts: Callable[[], tuple[PeerHost, ...]],
    ):
        self.selector = selector
        self.own_rate = own_rate
        self.hosts = hosts
        # Hosts that the candidates were chosen from, and those by number of shards.
        self._known: tuple[PeerHost, ...] = ()
        self._candidates: dict[int, tuple[PeerHost, ...]] = {}

    def choose(self, shards: int) -> PeerHost | None:
        """Return the host to delegate a query to, or None to serve it here.

        Parameters
        ----------
        shards : int
            Number of shards of the query.
        """
        hosts = self.hosts()
        if hosts is not self._known:
            self._known = hosts
            self._candidates.clear()
        candidates = self._candidates.get(shards)
        if candidates is None:
            candidates = self._candidates[shards] = self._find(hosts, shards)
        return self.selector.choose(candidates, ()) if candidates else None

    def _find(self, hosts: tuple[PeerHost, ...], shards: int) -> tuple[PeerHost, ...]:
        return tuple(
            host
            for host in hosts
            if host.failure_domain == self.selector.failure_domain
            and saved_seconds(shards, self.own_rate, host.shard_call_rate) > 0.0
        )

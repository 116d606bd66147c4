"""Which gather sends a sub-request: the owner of the shard, by rendezvous hash."""

from collections import defaultdict
from collections.abc import Iterable

from foxtailseam.daemons._node import Node
from foxtailseam.hosts import rendezvous_order
from foxtailseam.peers import PeerState
from foxtailseam.settings import Routing
from foxtailseam.snapshots import Shard

BACKUPS = 3


class Router:
    """Picks gathers; caches owners until the hosts or the peers' states change.

    Parameters
    ----------
    node : Node
        The process, with its list of hosts and its table of peers.
    """

    def __init__(self, node: Node):
        self.node = node
        self._orders: dict[str, tuple[str, ...]] = {}
        self._made_for: object = None

    def group(
        self, family: str, shards: Iterable[Shard], excluded: frozenset[str]
    ) -> dict[str, tuple[Shard, ...]]:
        """Return the shards by the gather that is to serve them.

        Shards for which there is no gather are left out.
        """
        groups: defaultdict[str, list[Shard]] = defaultdict(list)
        for shard in shards:
            gather = self.pick(family, shard.name, excluded)
            if gather is not None:
                groups[gather].append(shard)
        return {gather: tuple(items) for gather, items in groups.items()}

    def pick(self, family: str, shard: str, excluded: frozenset[str]) -> str | None:
        """Return the gather that serves a shard, or None."""
        order = self._order(f"{family}/{shard}")
        usable = (gather for gather in order if gather not in excluded)
        return next(usable, None)

    def _order(self, key: str) -> tuple[str, ...]:
        hosts = self.node.published.hosts
        made_for = (hosts.revision, self.node.table.version)
        if made_for != self._made_for:
            self._orders.clear()
            self._made_for = made_for
        order = self._orders.get(key)
        if order is None:
            order = rendezvous_order(key, self._gathers())[:BACKUPS]
            self._orders[key] = order
        return order

    def _gathers(self) -> list[str]:
        hosts = self.node.published.hosts.value
        listed = list(hosts.gathers)
        if self.node.settings.entry.routing is Routing.LOCAL:
            name = self.node.identity.host
            own = [
                gather for h in hosts.hosts if h.name == name for gather in h.gathers
            ]
            listed = own or listed
        table = self.node.table
        alive = [item for item in listed if table.state(item) is PeerState.ALIVE]
        # Suspicion may be mistaken; with nobody else left it is set aside.
        return alive or listed

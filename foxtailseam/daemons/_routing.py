"""Which gather sends a sub-request: the owner of the shard."""

from collections import defaultdict
from collections.abc import Iterable

from foxtailseam.daemons._node import Node
from foxtailseam.hosts import balanced_orders
from foxtailseam.peers import PeerState
from foxtailseam.settings import Routing
from foxtailseam.snapshots import Shard, Snapshot

BACKUPS = 3


class Router:
    """Picks gathers; remembers owners until the hosts or the peers change.

    Parameters
    ----------
    node : Node
        The process, with its list of hosts and its table of peers.
    """

    def __init__(self, node: Node):
        self.node = node
        self._orders: dict[tuple[str, int], dict[str, tuple[str, ...]]] = {}
        self._made_for: object = None

    def group(
        self, snapshot: Snapshot, shards: Iterable[Shard], excluded: frozenset[str]
    ) -> dict[str, tuple[Shard, ...]]:
        """Return the shards by the gather that is to serve them.

        Shards for which there is no gather are left out.
        """
        groups: defaultdict[str, list[Shard]] = defaultdict(list)
        orders = self._orders_of(snapshot)
        for shard in shards:
            gather = _first(orders[shard.name], excluded)
            if gather is not None:
                groups[gather].append(shard)
        return {gather: tuple(items) for gather, items in groups.items()}

    def pick(
        self, snapshot: Snapshot, shard: str, excluded: frozenset[str]
    ) -> str | None:
        """Return the gather that serves a shard, or None."""
        return _first(self._orders_of(snapshot)[shard], excluded)

    def _orders_of(self, snapshot: Snapshot) -> dict[str, tuple[str, ...]]:
        published = self.node.published
        made_for = (
            published.hosts.revision,
            published.snapshots.revision,
            self.node.table.version,
        )
        if made_for != self._made_for:
            self._orders.clear()
            self._made_for = made_for
        pinned = (snapshot.family, snapshot.index_version)
        orders = self._orders.get(pinned)
        if orders is None:
            names = [shard.name for shard in snapshot.shards]
            orders = {
                name: order[:BACKUPS]
                for name, order in balanced_orders(names, self._gathers()).items()
            }
            self._orders[pinned] = orders
        return orders

    def _gathers(self) -> list[str]:
        hosts = self.node.published.hosts.value
        listed = list(hosts.gathers)
        if self.node.settings.entry.routing is Routing.LOCAL:
            name = self.node.identity.host
            own = [
                gather
                for host in hosts.hosts
                if host.name == name
                for gather in host.gathers
            ]
            listed = own or listed
        table = self.node.table
        alive = [item for item in listed if table.state(item) is PeerState.ALIVE]
        # Suspicion may be mistaken; with nobody else left it is set aside.
        return alive or listed


def _first(order: tuple[str, ...], excluded: frozenset[str]) -> str | None:
    usable = (gather for gather in order if gather not in excluded)
    return next(usable, None)

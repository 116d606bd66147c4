"""Chooses the gather that sends the sub-requests of each shard."""

from collections import defaultdict
from collections.abc import Iterable

from foxtailseam.daemons._node import Node
from foxtailseam.hosts import balanced_orders
from foxtailseam.peers import PeerState
from foxtailseam.settings import Routing
from foxtailseam.snapshots import Shard, Snapshot

GATHERS_PER_SHARD = 3


class Router:
    """Assigns shards to gathers by balanced rendezvous hashing.

    Assignments are cached until the hosts, the snapshots or the states of the
    peers change.

    Parameters
    ----------
    node : Node
        Components of the process, with the list of hosts and the peer table.
    """

    def __init__(self, node: Node):
        self.node = node
        self._preference_lists: dict[tuple[str, int], dict[str, tuple[str, ...]]] = {}
        self._cached_revisions: object = None

    def group_by_gather(
        self, snapshot: Snapshot, shards: Iterable[Shard], excluded: frozenset[str]
    ) -> dict[str, tuple[Shard, ...]]:
        """Group shards by the gather that is to serve them.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot that the shards belong to.
        shards : iterable of Shard
            Shards to assign.
        excluded : frozenset of str
            Addresses of gathers that must not be used.

        Returns
        -------
        dict of str to tuple of Shard
            Shards by address of the gather. A shard without a gather that may be
            used is left out.
        """
        groups: defaultdict[str, list[Shard]] = defaultdict(list)
        preference_lists = self._preference_lists_of(snapshot)
        for shard in shards:
            gather = _first_usable(preference_lists[shard.name], excluded)
            if gather is not None:
                groups[gather].append(shard)
        return {gather: tuple(items) for gather, items in groups.items()}

    def pick_gather(
        self, snapshot: Snapshot, shard: str, excluded: frozenset[str]
    ) -> str | None:
        """Return the address of the gather that is to serve a shard.

        Parameters
        ----------
        snapshot : Snapshot
            Snapshot that the shard belongs to.
        shard : str
            Name of the shard.
        excluded : frozenset of str
            Addresses of gathers that must not be used.

        Returns
        -------
        str or None
            None if the shard has no gather that may be used.
        """
        return _first_usable(self._preference_lists_of(snapshot)[shard], excluded)

    def _preference_lists_of(self, snapshot: Snapshot) -> dict[str, tuple[str, ...]]:
        published = self.node.published
        revisions = (
            published.hosts.revision,
            published.snapshots.revision,
            self.node.peer_table.version,
        )
        if revisions != self._cached_revisions:
            self._preference_lists.clear()
            self._cached_revisions = revisions
        cache_key = (snapshot.family, snapshot.index_version)
        preference_lists = self._preference_lists.get(cache_key)
        if preference_lists is None:
            names = [shard.name for shard in snapshot.shards]
            preference_lists = {
                name: preference_list[:GATHERS_PER_SHARD]
                for name, preference_list in balanced_orders(
                    names, self._eligible_gathers()
                ).items()
            }
            self._preference_lists[cache_key] = preference_lists
        return preference_lists

    def _eligible_gathers(self) -> list[str]:
        hosts = self.node.published.hosts.value
        candidates = list(hosts.gathers)
        if self.node.settings.entry.routing is Routing.LOCAL:
            name = self.node.identity.host
            local_gathers = [
                gather
                for host in hosts.hosts
                if host.name == name
                for gather in host.gathers
            ]
            candidates = local_gathers or candidates
        table = self.node.peer_table
        alive = [item for item in candidates if table.state(item) is PeerState.ALIVE]
        # A suspicion may be wrong, so suspects are used if no gather is alive.
        return alive or candidates


def _first_usable(
    preference_list: tuple[str, ...], excluded: frozenset[str]
) -> str | None:
    usable = (gather for gather in preference_list if gather not in excluded)
    return next(usable, None)

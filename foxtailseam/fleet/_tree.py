"""Distribution tree: which hosts read the configuration service or relay it to others.

Hosts with the same view of the membership compute the same tree. While their views
differ, additional hosts read the service. This costs extra calls but not correctness,
because every relayed update carries its age.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailseam.hosts import rendezvous_order

# Number of hosts that read the service: if one cannot reach it, the other one still
# reads.
READER_COUNT = 2
# Number of children that are assigned to each node. Most children have a second
# parent, so a node can relay to more hosts than this.
TREE_FANOUT = 8
_ORDER_KEY = "configuration-readers"


@dataclass(frozen=True, slots=True)
class TreePosition:
    """Position of one host in the distribution tree.

    Parameters
    ----------
    is_reader : bool
        Whether the host reads the configuration service itself.
    parents : tuple of str
        Addresses of the hosts that relay changes to this host. For a reader, the
        other readers.
    """

    is_reader: bool
    parents: tuple[str, ...]


def compute_position(
    own_address: str, members: Iterable[str], first: Iterable[str] = ()
) -> TreePosition:
    """Return the position of a host in the tree over all alive hosts.

    Parameters
    ----------
    own_address : str
        ``IP:PORT`` of the host whose position is returned.
    members : iterable of str
        Addresses of all alive hosts. `own_address` is added if it is missing.
    first : iterable of str
        Addresses of hosts that come before all others if they are members. Hosts that
        do not know most members yet agree on these.
    """
    order = rendezvous_order(_ORDER_KEY, {own_address, *members})
    preferred = set(first)
    order = tuple(sorted(order, key=lambda address: address not in preferred))
    index = order.index(own_address)
    if index < READER_COUNT:
        # A reader that the service refuses still gets changes from the other reader.
        return TreePosition(
            True,
            tuple(
                address for address in order[:READER_COUNT] if address != own_address
            ),
        )
    parent = (index - READER_COUNT) // TREE_FANOUT
    if parent < READER_COUNT:
        return TreePosition(False, order[:READER_COUNT])
    # A second parent next to the first, so that the loss of either is tolerated.
    neighbour = parent + 1 if parent + 1 < index else parent - 1
    return TreePosition(False, (order[parent], order[neighbour]))

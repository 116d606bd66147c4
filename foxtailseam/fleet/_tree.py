"""Who reads the configuration service, and who passes it on to whom.

All hosts that know the same members compute the same tree. While they differ,
some hosts read the service beside those that should: that costs calls, not
correctness, since what is passed on carries its age.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailseam.hosts import rendezvous_order

# Hosts that read the service: when one is cut off from it the other goes on.
READERS = 2
# Hosts that one host passes changes on to.
CHILDREN = 8
_ORDER_KEY = "configuration-readers"


@dataclass(frozen=True, slots=True)
class Position:
    """The place of a host in the tree.

    Parameters
    ----------
    is_reader : bool
        Whether it reads the service.
    parents : tuple of str
        Hosts that pass changes on to it; for a reader, the other readers.
    """

    is_reader: bool
    parents: tuple[str, ...]


def position_of(own: str, members: Iterable[str]) -> Position:
    """Return the place of a host among the living members.

    Parameters
    ----------
    own : str
        Address of the host.
    members : iterable of str
        Addresses of all living hosts; `own` may be missing.
    """
    order = rendezvous_order(_ORDER_KEY, {own, *members})
    index = order.index(own)
    if index < READERS:
        # If the service turns one reader away, the other still tells it.
        return Position(True, tuple(item for item in order[:READERS] if item != own))
    parent = (index - READERS) // CHILDREN
    if parent < READERS:
        return Position(False, order[:READERS])
    # Beside the parent, its neighbour: either can be lost.
    neighbour = parent + 1 if parent + 1 < index else parent - 1
    return Position(False, (order[parent], order[neighbour]))

"""Rendezvous hashing: processes choose the same owner without communication.

References
----------
D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.

V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with bounded
loads", SODA 2018.
"""

import math
from collections import Counter
from collections.abc import Iterable
from zlib import crc32


def _weight(key: str, node: str) -> int:
    checksum = crc32(node.encode(), crc32(key.encode()))
    # The orders of different keys would correlate without the multiplication,
    # because CRC-32 is linear.
    return (checksum * 0x9E3779B97F4A7C15 >> 16) & 0xFFFFFFFF


def rendezvous_order(key: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the nodes in the order of preference for a key.

    Parameters
    ----------
    key : str
        Name of the item to assign.
    nodes : iterable of str
        The candidates; the result does not depend on their order.

    Returns
    -------
    tuple of str
        All nodes: the owner of the key first, then its backups.
    """
    ranked = sorted(nodes, key=lambda node: (_weight(key, node), node), reverse=True)
    return tuple(ranked)


def rendezvous_draw(key: str, node: str) -> float:
    """Return the number from 0 to 1 by which a node is ranked for a key.

    Parameters
    ----------
    key : str
        Name of the item to assign.
    node : str
        The candidate.
    """
    return _weight(key, node) / 2**32


def rendezvous_subset(key: str, nodes: Iterable[str], size: int) -> frozenset[str]:
    """Return the most preferred nodes for a key.

    Parameters
    ----------
    key : str
        Name of the item to assign.
    nodes : iterable of str
        The candidates; the result does not depend on their order.
    size : int
        Maximum number of nodes to return.

    Returns
    -------
    frozenset of str
        The first `size` nodes of `rendezvous_order`.
    """
    return frozenset(rendezvous_order(key, nodes)[:size])


def balanced_orders(
    keys: Iterable[str], nodes: Iterable[str]
) -> dict[str, tuple[str, ...]]:
    """Return an order of the nodes for each key, with balanced ownership.

    No node owns more keys than the average, rounded up. A key whose most
    preferred node has reached this limit is owned by the next node in its
    rendezvous order.

    Parameters
    ----------
    keys : iterable of str
        The keys to assign.
    nodes : iterable of str
        The candidates. The result does not depend on the order of keys or nodes.

    Returns
    -------
    dict of str to tuple of str
        For each key all nodes: its owner first, then its backups.
    """
    sorted_keys = sorted(keys)
    sorted_nodes = sorted(nodes)
    if not sorted_nodes:
        return dict.fromkeys(sorted_keys, ())
    max_keys = math.ceil(len(sorted_keys) / len(sorted_nodes))
    key_counts: Counter[str] = Counter()
    orders = {}
    for key in sorted_keys:
        order = rendezvous_order(key, sorted_nodes)
        owner = next(node for node in order if key_counts[node] < max_keys)
        key_counts[owner] += 1
        orders[key] = (owner, *(node for node in order if node != owner))
    return orders

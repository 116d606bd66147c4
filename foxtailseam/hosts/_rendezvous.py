"""Rendezvous hashing: every process picks the same owner without talking.

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
    mixed = crc32(node.encode(), crc32(key.encode()))
    # A multiplicative mix: crc32 alone is linear, so its orders correlate.
    return (mixed * 0x9E3779B97F4A7C15 >> 16) & 0xFFFFFFFF


def rendezvous_order(key: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the nodes, the owner of `key` first, then its backups."""
    ranked = sorted(nodes, key=lambda node: (_weight(key, node), node), reverse=True)
    return tuple(ranked)


def rendezvous_subset(key: str, nodes: Iterable[str], size: int) -> frozenset[str]:
    """Return the first `size` nodes for `key`."""
    return frozenset(rendezvous_order(key, nodes)[:size])


def balanced_orders(
    keys: Iterable[str], nodes: Iterable[str]
) -> dict[str, tuple[str, ...]]:
    """Return for each key the nodes, its owner first, with even loads.

    No node owns more keys than the average, rounded up: a key whose first node
    is full goes to the next one in its rendezvous order.

    Parameters
    ----------
    keys : iterable of str
        What is owned; the result does not depend on their order.
    nodes : iterable of str
        Who may own; nor on theirs.
    """
    ordered_keys = sorted(keys)
    listed = sorted(nodes)
    if not listed:
        return dict.fromkeys(ordered_keys, ())
    most = math.ceil(len(ordered_keys) / len(listed))
    owned: Counter[str] = Counter()
    orders = {}
    for key in ordered_keys:
        order = rendezvous_order(key, listed)
        owner = next(node for node in order if owned[node] < most)
        owned[owner] += 1
        orders[key] = (owner, *(node for node in order if node != owner))
    return orders

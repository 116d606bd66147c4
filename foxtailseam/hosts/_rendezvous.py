"""Rendezvous hashing: every process picks the same owner without talking.

References
----------
D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

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

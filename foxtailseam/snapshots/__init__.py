"""Published snapshots: an index version with the shard map that belongs to it."""

from foxtailseam.snapshots._snapshots import (
    Shard,
    Snapshot,
    SnapshotList,
    parse_snapshots,
)

__all__ = ["Shard", "Snapshot", "SnapshotList", "parse_snapshots"]

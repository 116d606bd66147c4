"""Published snapshots, each an index version with its shard map."""

from foxtailseam.snapshots._snapshots import (
    Shard,
    Snapshot,
    SnapshotList,
    parse_snapshots,
)

__all__ = ["Shard", "Snapshot", "SnapshotList", "parse_snapshots"]

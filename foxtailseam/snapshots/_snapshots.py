"""Snapshots of the service families."""

from dataclasses import dataclass, field
from zlib import crc32

import msgspec
from result import Err, Ok, Result


@dataclass(frozen=True, slots=True)
class Shard:
    """One shard and its replicas.

    Parameters
    ----------
    name : str
        Unique within the snapshot.
    searchers : tuple of str
        ``IP:PORT`` of each searcher that holds the shard.
    """

    name: str
    searchers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """An index version of one service family with its shard map.

    Parameters
    ----------
    family : str
        Name of the service family.
    index_version : int
        Version that every sub-answer must carry.
    shards : tuple of Shard
        The shard map.
    slots : int
        Requests that one searcher runs at a time.
    connections : int
        Connections that one searcher accepts, over all hosts.
    """

    family: str
    index_version: int
    shards: tuple[Shard, ...]
    slots: int = 2
    connections: int = 25

    def shard_for(self, key: str) -> Shard:
        """Return the shard that a request with `key` belongs to."""
        return self.shards[crc32(key.encode()) % len(self.shards)]


@dataclass(frozen=True)
class SnapshotList:
    """The current snapshot of each service family."""

    snapshots: tuple[Snapshot, ...] = ()
    _by_family: dict[str, Snapshot] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self):
        self._by_family.update({item.family: item for item in self.snapshots})

    def find(self, family: str) -> Snapshot | None:
        """Return the snapshot of `family`, if there is one."""
        return self._by_family.get(family)


@dataclass(frozen=True)
class _Published:
    snapshots: tuple[Snapshot, ...]


def parse_snapshots(text: str) -> Result[SnapshotList, str]:
    """Parse the published JSON; an error names the field."""
    try:
        published = msgspec.json.decode(text, type=_Published)
    except msgspec.MsgspecError as error:
        return Err(str(error))
    for snapshot in published.snapshots:
        names = {shard.name for shard in snapshot.shards}
        if not names or len(names) != len(snapshot.shards):
            return Err(f"{snapshot.family}: expected at least one shard, each once")
    return Ok(SnapshotList(published.snapshots))

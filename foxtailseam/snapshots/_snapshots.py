"""Snapshots of the service families and their published JSON format."""

from dataclasses import dataclass, field
from zlib import crc32

import msgspec
from result import Err, Ok, Result


@dataclass(frozen=True, slots=True)
class Shard:
    """Shard and the searchers that hold it.

    Parameters
    ----------
    name : str
        Name, unique within the snapshot.
    searchers : tuple of str
        ``IP:PORT`` of each searcher that holds the shard.
    """

    name: str
    searchers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Index version of one service family with its shard map.

    Parameters
    ----------
    family : str
        Name of the service family.
    index_version : int
        Index version that the answer of every shard must have.
    shards : tuple of Shard
        All shards of the index version; their order affects which one a key maps to.
    slots : int
        Number of requests that one searcher runs concurrently.
    connections : int
        Number of connections that one searcher accepts, over all hosts.
    """

    family: str
    index_version: int
    shards: tuple[Shard, ...]
    slots: int = 2
    connections: int = 25

    def shard_for(self, key: str) -> Shard:
        """Return the shard that a key maps to.

        It is chosen by the CRC-32 of the key modulo the number of shards.

        Parameters
        ----------
        key : str
            Key of a non-repeatable request.
        """
        return self.shards[crc32(key.encode()) % len(self.shards)]


@dataclass(frozen=True)
class SnapshotList:
    """Current snapshots, at most one for each service family.

    Parameters
    ----------
    snapshots : tuple of Snapshot
        Snapshots; the last one counts if a family occurs repeatedly.
    """

    snapshots: tuple[Snapshot, ...] = ()
    _by_family: dict[str, Snapshot] = field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def __post_init__(self):
        self._by_family.update({item.family: item for item in self.snapshots})

    def find(self, family: str) -> Snapshot | None:
        """Return the snapshot of a service family, or None if it has none.

        Parameters
        ----------
        family : str
            Name of the service family.
        """
        return self._by_family.get(family)


@dataclass(frozen=True)
class _PublishedSnapshots:
    snapshots: tuple[Snapshot, ...]


def parse_snapshots(text: str) -> Result[SnapshotList, str]:
    """Parse published snapshots.

    Parameters
    ----------
    text : str
        JSON object with a field ``snapshots``.

    Returns
    -------
    Result[SnapshotList, str]
        The snapshots, or an error message that names the invalid field or the
        service family.
    """
    try:
        published = msgspec.json.decode(text, type=_PublishedSnapshots)
    except msgspec.MsgspecError as error:
        return Err(str(error))
    for snapshot in published.snapshots:
        names = {shard.name for shard in snapshot.shards}
        if not names or len(names) != len(snapshot.shards):
            return Err(
                f"{snapshot.family}: expected at least one shard and unique shard names"
            )
    return Ok(SnapshotList(published.snapshots))

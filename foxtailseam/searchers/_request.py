"""A sub-request, and what the batch that it came with has shown."""

from dataclasses import dataclass

from foxtailseam.configuration import FamilyPolicy
from foxtailseam.snapshots import Shard

ANY_VERSION = 0


@dataclass
class BatchProgress:
    """What sub-requests of one query have shown of the query so far.

    Parameters
    ----------
    query_shards : int
        Shards that the whole query asks.
    answered : int
        Sub-requests of the batch that a searcher answered.
    """

    query_shards: int
    answered: int = 0

    @property
    def allows_hedge(self) -> bool:
        """Return whether a second searcher may be risked.

        A query that crashes searchers answers nowhere; while nothing of it was
        answered, it is sent to one searcher of each shard only.
        """
        return self.answered > 0 or self.query_shards == 1


@dataclass(frozen=True, slots=True)
class ShardRequest:
    """One sub-request: a query for one shard.

    Parameters
    ----------
    request_id : str
        The caller's request.
    family : str
        Service family.
    index_version : int
        Pinned version; `ANY_VERSION` for a request that may not be repeated.
    body : bytes
        The query, as sent to searchers.
    shard : Shard
        The shard and its searchers.
    slots, connections : int
        What one searcher accepts.
    deadline : float
        Monotonic time, in seconds, after which the answer is of no use.
    policy : FamilyPolicy
        The rules in force.
    suspect : bool
        The request may crash searchers: send it once, to one searcher.
    """

    request_id: str
    family: str
    index_version: int
    body: bytes
    shard: Shard
    slots: int
    connections: int
    deadline: float
    policy: FamilyPolicy
    suspect: bool = False

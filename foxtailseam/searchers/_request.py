"""Sub-requests and the progress of the query they belong to."""

from dataclasses import dataclass

from foxtailseam.configuration import FamilyPolicy
from foxtailseam.snapshots import Shard

ANY_VERSION = 0


@dataclass
class BatchProgress:
    """Progress of the sub-requests that one gather process runs for a query.

    Parameters
    ----------
    query_shards : int
        Number of shards that the whole query is sent to, over all gathers.
    answered : int
        Number of sub-requests answered so far in this process.
    """

    query_shards: int
    answered: int = 0

    @property
    def allows_hedge(self) -> bool:
        """Return whether a sub-request may be hedged to a second searcher.

        A query that crashes searchers gets no answer from any shard. No sub-request
        is therefore hedged before one was answered, unless the query has a single
        shard.
        """
        return self.answered > 0 or self.query_shards == 1


@dataclass(frozen=True, slots=True)
class ShardRequest:
    """One sub-request: a request to one shard.

    Parameters
    ----------
    request_id : str
        Identifier of the caller's request.
    family : str
        Name of the service family.
    index_version : int
        Pinned index version; `ANY_VERSION` for a non-repeatable request.
    body : bytes
        Request body sent to the searcher.
    shard : Shard
        The shard and its searchers.
    slots : int
        Maximum number of concurrent requests per searcher from this process.
    connections : int
        Connection limit per searcher.
    deadline : float
        Monotonic time, in seconds, after which the answer is not used.
    policy : FamilyPolicy
        Policy of the service family.
    suspect : bool
        Whether the request may crash searchers; it is then sent to one searcher
        only, without hedge or retry. A retry is allowed if nothing was sent.
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

"""Queries of all shards that a host hands to one that sends their calls faster.

A host with a narrow link or a slow processor needs a large part of a latency goal for
the calls of one query alone. It delegates the query to a host of its failure domain,
the coordinator. A query that no coordinator takes is served by the host itself, and a
coordinator delegates nothing further.

Nothing here performs I/O.
"""

from foxtailseam.delegation._capacity import (
    MAX_BACKLOG_SECONDS,
    saved_seconds,
    shard_call_rate,
)
from foxtailseam.delegation._delegated_query import (
    DelegatedQuery,
    DelegationResult,
    Delegator,
    NotDelegated,
)
from foxtailseam.delegation._messages import DelegationMessage
from foxtailseam.delegation._selection import CoordinatorSelector
from foxtailseam.delegation._sending import (
    DeclinedCall,
    DelegatedCall,
    DelegationSender,
)

__all__ = [
    "MAX_BACKLOG_SECONDS",
    "CoordinatorSelector",
    "DeclinedCall",
    "DelegatedCall",
    "DelegatedQuery",
    "DelegationMessage",
    "DelegationResult",
    "DelegationSender",
    "Delegator",
    "NotDelegated",
    "saved_seconds",
    "shard_call_rate",
]

"""The part of a query's answer that comes from one shard."""

from dataclasses import dataclass

from foxtailseam.outcomes._coverage import MissingReason


@dataclass(frozen=True, slots=True)
class Hit:
    """A record that matches a query.

    Parameters
    ----------
    record : str
        Identifier of the record, unique over all shards.
    score : float
        Relevance of the hit; higher scores are ranked first.
    text : str
        Text of the record shown to the caller.
    """

    record: str
    score: float
    text: str


@dataclass(frozen=True, slots=True)
class SubAnswer:
    """Result that a gather returns for one shard of a query.

    Parameters
    ----------
    shard : str
        Name of the shard.
    index_version : int
        Index version that the searcher answered from; 0 if it did not answer.
    hits : tuple of Hit
        Matching records.
    lack : MissingReason or None
        Why the shard is missing from the answer; None if it is included.
    attempts : int
        Number of sub-requests sent for this shard, including hedges and retries.
    lost_searchers : int
        Number of searchers that were lost while they ran this sub-request.
    """

    shard: str
    index_version: int = 0
    hits: tuple[Hit, ...] = ()
    lack: MissingReason | None = None
    attempts: int = 0
    lost_searchers: int = 0

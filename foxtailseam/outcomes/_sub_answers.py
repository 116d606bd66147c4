"""The answer of one shard."""

from dataclasses import dataclass

from foxtailseam.outcomes._coverage import MissingReason


@dataclass(frozen=True, slots=True)
class Hit:
    """One matching record.

    Parameters
    ----------
    record : str
        Identifier of the record, unique over all shards.
    score : float
        Rank of the hit, higher first.
    text : str
        What the caller is shown.
    """

    record: str
    score: float
    text: str


@dataclass(frozen=True, slots=True)
class SubAnswer:
    """What a gather returns for one shard of one query.

    Parameters
    ----------
    shard : str
        Name of the shard.
    index_version : int
        Version the searcher answered from; 0 if it did not answer.
    hits : tuple of Hit
        Matching records.
    lack : MissingReason or None
        Set if the shard is missing.
    attempts : int
        Sub-requests sent for this shard, hedges and retries included.
    lost_searchers : int
        Searchers that were lost while they ran this sub-request.
    """

    shard: str
    index_version: int = 0
    hits: tuple[Hit, ...] = ()
    lack: MissingReason | None = None
    attempts: int = 0
    lost_searchers: int = 0

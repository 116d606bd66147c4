"""Merges sub-answers into hits and coverage, against the pinned shard map."""

from collections.abc import Iterable

from foxtailseam.outcomes._coverage import Coverage, MissingReason, MissingShard
from foxtailseam.outcomes._sub_answers import Hit, SubAnswer


def merge_answers(
    shards: Iterable[str],
    index_version: int,
    answers: Iterable[SubAnswer],
    limit: int,
) -> tuple[tuple[Hit, ...], Coverage]:
    """Merge sub-answers of one query.

    Parameters
    ----------
    shards : iterable of str
        Names of all shards of the pinned map.
    index_version : int
        The pinned version; sub-answers of another one count as lacking.
    answers : iterable of SubAnswer
        In any order; duplicates and shards outside the map are ignored.
    limit : int
        Highest number of hits to return.

    Returns
    -------
    hits : tuple of Hit
        Sorted by falling score, then record; each record once.
    coverage : Coverage
        Each shard of the map, exactly once.
    """
    reasons = dict.fromkeys(shards, MissingReason.DEADLINE)
    usable: dict[str, SubAnswer] = {}
    for answer in answers:
        if answer.shard not in reasons or answer.shard in usable:
            continue
        if answer.lack is not None:
            reasons[answer.shard] = answer.lack
        elif answer.index_version != index_version:
            reasons[answer.shard] = MissingReason.WRONG_VERSION
        else:
            usable[answer.shard] = answer
    lacking = tuple(
        MissingShard(shard, reasons[shard])
        for shard in sorted(reasons)
        if shard not in usable
    )
    coverage = Coverage(tuple(sorted(usable)), lacking)
    return _best_hits(usable.values(), limit), coverage


def _best_hits(answers: Iterable[SubAnswer], limit: int) -> tuple[Hit, ...]:
    best: dict[str, Hit] = {}
    for answer in answers:
        for hit in answer.hits:
            known = best.get(hit.record)
            if known is None or hit.score > known.score:
                best[hit.record] = hit
    ranked = sorted(best.values(), key=lambda hit: (-hit.score, hit.record))
    return tuple(ranked[:limit])

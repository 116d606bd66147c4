"""Merges the sub-answers of a query into ranked hits and their coverage."""

from collections.abc import Iterable

from foxtailseam.outcomes._coverage import Coverage, MissingReason, MissingShard
from foxtailseam.outcomes._sub_answers import Hit, SubAnswer


def merge_answers(
    shards: Iterable[str],
    index_version: int,
    answers: Iterable[SubAnswer],
    limit: int,
) -> tuple[tuple[Hit, ...], Coverage]:
    """Merge the sub-answers of one query.

    Parameters
    ----------
    shards : iterable of str
        Names of all shards of the pinned shard map.
    index_version : int
        Pinned index version; shards that answered from another one count as missing.
    answers : iterable of SubAnswer
        Sub-answers in any order; shards outside the map, and further answers of a
        shard that is included already, are ignored.
    limit : int
        Maximum number of hits to return.

    Returns
    -------
    hits : tuple of Hit
        Hits by descending score, then by record; each record once, with its best
        score.
    coverage : Coverage
        Each shard of the map exactly once. A shard without a sub-answer is missing
        with `MissingReason.DEADLINE`.
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
            previous = best.get(hit.record)
            if previous is None or hit.score > previous.score:
                best[hit.record] = hit
    ranked = sorted(best.values(), key=lambda hit: (-hit.score, hit.record))
    return tuple(ranked[:limit])

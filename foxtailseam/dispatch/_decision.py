"""Decision between waiting for more shards and answering with those received."""

from dataclasses import dataclass
from enum import Enum, auto


class QueryDecision(Enum):
    """Next action of a query."""

    WAIT = auto()
    ANSWER = auto()
    FAIL = auto()


@dataclass(frozen=True, slots=True)
class QueryProgress:
    """Progress of a query; all times are in seconds of the same clock.

    Parameters
    ----------
    total : int
        Number of shards.
    included : int
        Number of shards that have delivered a part.
    pending : int
        Number of shards that may still deliver a part.
    min_included : int
        Minimum number of shards that a success includes.
    now : float
        Current time.
    goal_at : float
        Time at which the answer should be sent to meet the latency goal.
    goal_limit_at : float
        Last time at which an answer can still meet the latency goal.
    late_answer_at : float
        Time at which a query that missed the goal stops waiting for more shards.
    deadline_at : float
        Last time at which an answer may be sent.
    """

    total: int
    included: int
    pending: int
    min_included: int
    now: float
    goal_at: float
    goal_limit_at: float
    late_answer_at: float
    deadline_at: float


def decide_query(progress: QueryProgress, missed_goal: bool) -> QueryDecision:
    """Return the next action of a query.

    Until the goal, the query waits for every shard: more shards make a better answer,
    an earlier answer does not. A query that had too few shards at its goal answers as
    soon as it has enough until `goal_limit_at`; after that it is late in any case, so
    it waits for the remaining shards until `late_answer_at`.

    Parameters
    ----------
    progress : QueryProgress
        Current progress of the query.
    missed_goal : bool
        Whether the query had too few shards when the goal passed.
    """
    if progress.included == progress.total:
        return QueryDecision.ANSWER
    if progress.included + progress.pending < progress.min_included:
        return QueryDecision.FAIL
    has_enough = progress.included >= progress.min_included
    if progress.now >= progress.deadline_at:
        return QueryDecision.ANSWER if has_enough else QueryDecision.FAIL
    answer_at = progress.goal_at
    if missed_goal and progress.now > progress.goal_limit_at:
        answer_at = progress.late_answer_at
    if has_enough and (progress.pending == 0 or progress.now >= answer_at):
        return QueryDecision.ANSWER
    return QueryDecision.WAIT

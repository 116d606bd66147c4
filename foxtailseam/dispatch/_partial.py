"""Decides between waiting for more shards and answering with those that are in."""

from dataclasses import dataclass
from enum import Enum, auto


class PartialDecision(Enum):
    """What to do with a query now."""

    WAIT = auto()
    ANSWER = auto()
    FAIL = auto()


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a query is.

    Parameters
    ----------
    total, included, pending : int
        Shards in all, with a part, and with an attempt that may still bring one.
    least : int
        Shards that a success includes at least.
    now, goal_at, goal_limit_at, late_answer_at, deadline_at : float
        The present time; when an answer should leave to be within the latency
        goal, and until when it may still be; when a late answer no longer waits
        to be complete; and when the last answer must leave. In seconds of one
        clock.
    """

    total: int
    included: int
    pending: int
    least: int
    now: float
    goal_at: float
    goal_limit_at: float
    late_answer_at: float
    deadline_at: float


def decide(progress: Progress, missed_goal: bool) -> PartialDecision:
    """Return what to do.

    Until the goal every shard is waited for, since more shards are worth more
    and an earlier answer is not. A query that had too few shards at its goal is
    late in any case; it waits until it is complete, within bounds.

    Parameters
    ----------
    progress : Progress
        How far the query is.
    missed_goal : bool
        Whether it had too few shards when its goal passed.
    """
    if progress.included == progress.total:
        return PartialDecision.ANSWER
    if progress.included + progress.pending < progress.least:
        return PartialDecision.FAIL
    is_enough = progress.included >= progress.least
    if progress.now >= progress.deadline_at:
        return PartialDecision.ANSWER if is_enough else PartialDecision.FAIL
    answer_at = progress.goal_at
    if missed_goal and progress.now > progress.goal_limit_at:
        answer_at = progress.late_answer_at
    if is_enough and (progress.pending == 0 or progress.now >= answer_at):
        return PartialDecision.ANSWER
    return PartialDecision.WAIT

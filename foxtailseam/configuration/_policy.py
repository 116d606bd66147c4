"""What the rules in force say for one service family."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class FamilyPolicy:
    """The settings of one service family; defaults hold where no rule speaks.

    Parameters
    ----------
    deadline : timedelta
        Time from the arrival of a request to its answer.
    least_coverage : float
        Share of shards, 0 to 1, below which a partial answer is insufficient.
    hedge_budget : float
        Hedges allowed, as a share of the sub-requests sent.
    hedge_after : float
        Quantile of a shard's latency after which a sub-request is hedged.
    retry_budget : float
        Retries allowed, as a share of the sub-requests sent.
    limit : int
        Requests in flight in one entry process.
    priority : int
        Order in a searcher's queue; a higher one is served first.
    retry_after : timedelta
        When a refused caller is told to come back.
    repeatable : bool
        False for requests that run at most once (bookings, letters).
    hit_limit : int
        Highest number of hits in an answer.
    quarantine : timedelta
        How long a request that crashes searchers is refused.
    """

    deadline: timedelta = timedelta(milliseconds=120)
    least_coverage: float = 0.0
    hedge_budget: float = 0.05
    hedge_after: float = 0.95
    retry_budget: float = 0.10
    limit: int = 256
    priority: int = 0
    retry_after: timedelta = timedelta(seconds=1)
    repeatable: bool = True
    hit_limit: int = 100
    quarantine: timedelta = timedelta(minutes=10)

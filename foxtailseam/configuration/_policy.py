"""The policy that a set of rules defines for one service family."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class FamilyPolicy:
    """Settings of one service family; the defaults apply to settings without a rule.

    Parameters
    ----------
    deadline : timedelta
        Maximum time from the arrival of a request to its answer, 10 ms to 60 s.
    least_coverage : float
        Fraction of shards, 0 to 1, below which a partial answer is marked
        insufficient.
    hedge_budget : float
        Maximum number of hedged sub-requests, as a fraction of the sub-requests
        sent, 0 to 0.5.
    hedge_after : float
        Quantile of the shard's latency after which a sub-request is hedged,
        0.5 to 0.999.
    retry_budget : float
        Maximum number of retries, as a fraction of the sub-requests sent,
        0 to 0.5.
    limit : int
        Maximum number of requests in flight in one entry process, 1 to 100000;
        further requests are refused.
    priority : int
        Priority in a searcher's queue, 0 to 9; higher values are served first.
    retry_after : timedelta
        Delay after which a refused caller is told to retry, 100 ms to 10 min.
    repeatable : bool
        False for requests that must run at most once, such as a booking or a
        letter.
    hit_limit : int
        Maximum number of hits in an answer, 1 to 10000.
    quarantine : timedelta
        How long a request that crashes searchers is refused, 1 s to 60 min.
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

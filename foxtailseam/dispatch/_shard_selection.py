"""Selection of the shards that a query calls at once; the others are deferred.

A shard whose searchers have crashed or are far too slow cannot answer within the
latency goal. Calling it anyway lengthens its queue for the queries that cannot
succeed without it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

# A shard may answer in time if its expected response time is at most this multiple of
# the time left: responses can be faster than expected.
OPTIMISM_FACTOR = 1.5
# Expected times are multiplied by a random factor in this range, so that queries do
# not all prefer the same one of several similar shards.
MIN_JITTER = 0.8
MAX_JITTER = 1.25


@dataclass(frozen=True, slots=True)
class ShardEstimate:
    """Estimate of the response time of a shard.

    Parameters
    ----------
    expected_time : float
        Expected response time of the best searcher, in seconds; infinite if no
        searcher has spare capacity or all that do are ejected.
    in_flight : int
        Number of requests of this host in flight at that searcher.
    """

    expected_time: float
    in_flight: int = 0

    def may_answer_within(self, seconds: float) -> bool:
        """Return whether the shard has a chance to answer within `seconds`."""
        return self.expected_time <= OPTIMISM_FACTOR * seconds


def select_shards(
    estimates: Sequence[ShardEstimate],
    until_goal: float,
    max_missing: int,
    draws: Sequence[float],
) -> list[bool]:
    """Return for each shard whether it is called at once.

    All shards that may answer in time are called. Of the others, the query calls
    the fastest ones up to the number that a success needs. If it needs none of them,
    it calls those at whose best searcher this host has no request in flight, which
    occasionally yields another part and builds no queue.

    Parameters
    ----------
    estimates : sequence of ShardEstimate
        Estimate for each shard.
    until_goal : float
        Time until the answer should be sent, in seconds.
    max_missing : int
        Number of shards that a success may lack.
    draws : sequence of float
        Random number from 0 to 1 for each shard.

    Returns
    -------
    list of bool
        One value for each shard, in the order of `estimates`.
    """
    chosen = [estimate.may_answer_within(until_goal) for estimate in estimates]
    unlikely = [index for index, likely in enumerate(chosen) if not likely]
    needed = len(unlikely) - max_missing
    if needed > 0:
        span = MAX_JITTER - MIN_JITTER
        unlikely.sort(
            key=lambda index: (
                estimates[index].expected_time * (MIN_JITTER + span * draws[index])
            )
        )
        for index in unlikely[:needed]:
            chosen[index] = True
    else:
        for index in unlikely:
            estimate = estimates[index]
            is_idle = estimate.in_flight == 0 and math.isfinite(estimate.expected_time)
            chosen[index] = is_idle
    return chosen

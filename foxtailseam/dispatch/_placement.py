"""Decides which shards a query asks at once, and which only if it must.

A shard whose searchers crashed or are far too slow cannot answer within the
latency goal. Asking it all the same lengthens its queue for the queries that
cannot do without it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

# A response may come this much sooner than expected.
LUCK = 1.5
# Shards alike in prospect are told apart by chance: between these factors.
LEAST_CHANCE = 0.8
MOST_CHANCE = 1.25


@dataclass(frozen=True, slots=True)
class Prospect:
    """What may be expected of a shard.

    Parameters
    ----------
    expected : float
        Response time of its best searcher in seconds; infinite if none can be
        asked, or all are to be left alone.
    in_flight : int
        Own requests at that searcher.
    """

    expected: float
    in_flight: int = 0

    def may_come_within(self, seconds: float) -> bool:
        """Return whether a response within so many seconds is worth a try."""
        return self.expected <= LUCK * seconds


def place(
    prospects: Sequence[Prospect],
    until_goal: float,
    spare: int,
    draws: Sequence[float],
) -> list[bool]:
    """Return for each shard whether it is asked at once.

    All that may answer in time are. Of the others the query takes as many as it
    needs for its least share; if it needs none, it tries those that have none of
    this host's requests, which brings a part now and then and builds no queue.

    Parameters
    ----------
    prospects : sequence of Prospect
        The shards.
    until_goal : float
        Time until the answer must leave, in seconds.
    spare : int
        Shards that a success may lack.
    draws : sequence of float
        A random number from 0 to 1 for each shard.
    """
    chosen = [prospect.may_come_within(until_goal) for prospect in prospects]
    unlikely = [index for index, likely in enumerate(chosen) if not likely]
    needed = len(unlikely) - spare
    if needed > 0:
        span = MOST_CHANCE - LEAST_CHANCE
        unlikely.sort(
            key=lambda index: (
                prospects[index].expected * (LEAST_CHANCE + span * draws[index])
            )
        )
        for index in unlikely[:needed]:
            chosen[index] = True
    else:
        for index in unlikely:
            prospect = prospects[index]
            is_free = prospect.in_flight == 0 and math.isfinite(prospect.expected)
            chosen[index] = is_free
    return chosen

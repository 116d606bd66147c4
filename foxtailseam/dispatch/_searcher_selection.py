"""Selection of the searcher for a request."""

from collections.abc import Sequence
from typing import NamedTuple

from foxtailseam.locality import EXCLUSION_COST_SECONDS

# Cost of opening a connection, in seconds.
NEW_CONNECTION_PENALTY = 0.006
# Cost of a failure, in median response times.
FAILURE_PENALTY = 6.0
# Cost of a missing published entry, in median response times.
LAPSED_PENALTY = 3.0
# Factor by which a searcher is assumed to be slower while it warms up.
WARMUP_FACTOR = 1.6
# Searchers whose cost is within this factor of the lowest one count as equal.
NEAR_BEST_FACTOR = 1.05


class Candidate(NamedTuple):
    """Snapshot of a searcher for the selection.

    A named tuple, since several are made for each shard of each query.

    Parameters
    ----------
    identifier : str
        Identifier of the searcher.
    slowness : float
        Response time as a multiple of the route's median; 1 is normal.
    failure_share : float
        Recent share of failures, 0 to 1.
    in_flight : int
        Number of requests of this host in flight at the searcher.
    slots : int
        Number of requests that the searcher runs concurrently.
    distance_cost : float
        Cost of a request to the failure domain of the searcher, in seconds of response
        time; see `LocalityDecision`.
    has_connection : bool
        Whether an idle connection is available.
    is_warming : bool
        Whether the searcher is still warming up after its start.
    is_stalled : bool
        Whether its oldest request is overdue and it has not responded since.
    is_lapsed : bool
        Whether its published entry is missing.
    is_ejected : bool
        Whether it is avoided after failures.
    """

    identifier: str
    slowness: float = 1.0
    failure_share: float = 0.0
    in_flight: int = 0
    slots: int = 1
    distance_cost: float = 0.0
    has_connection: bool = True
    is_warming: bool = False
    is_stalled: bool = False
    is_lapsed: bool = False
    is_ejected: bool = False

    def expected_time(self, median_time: float) -> float:
        """Return the expected response time of one more request, in seconds.

        Parameters
        ----------
        median_time : float
            Median response time of the request's route, in seconds.
        """
        queue = max(1.0, (self.in_flight + 1) / self.slots)
        slowdown = self.slowness * (WARMUP_FACTOR if self.is_warming else 1.0)
        return median_time * slowdown * queue

    def cost(self, median_time: float) -> float:
        """Return the cost by which searchers are ranked, in seconds; lower is better.

        Parameters
        ----------
        median_time : float
            Median response time of the request's route, in seconds.
        """
        load = 1.0 + self.in_flight / self.slots
        slowdown = self.slowness * (WARMUP_FACTOR if self.is_warming else 1.0)
        cost = median_time * (slowdown * load + FAILURE_PENALTY * self.failure_share)
        cost += self.distance_cost
        if not self.has_connection:
            cost += NEW_CONNECTION_PENALTY
        if self.is_lapsed:
            cost += LAPSED_PENALTY * median_time
        return cost


def choose_searcher(
    candidates: Sequence[Candidate], median_time: float, draw: float = 0.0
) -> Candidate | None:
    """Return the searcher with the lowest cost, or None if there are no candidates.

    An ejected searcher is chosen only if all are ejected, a stalled one only if all
    the others are stalled too. Among searchers whose cost is within 5 % of the
    lowest, `draw` decides.

    Parameters
    ----------
    candidates : sequence of Candidate
        Searchers to choose from.
    median_time : float
        Median response time of the request's route, in seconds.
    draw : float
        Random number from 0 to 1.
    """
    if not candidates:
        return None
    best_rank = (True, True)
    costs: list[tuple[float, Candidate]] = []
    for item in candidates:
        rank = (item.is_ejected, item.is_stalled)
        if rank < best_rank:
            best_rank = rank
            costs.clear()
        if rank == best_rank:
            costs.append((item.cost(median_time), item))
    lowest = min([cost for cost, _ in costs])
    # Among searchers that are all excluded, their other costs decide.
    excluded = EXCLUSION_COST_SECONDS if lowest >= EXCLUSION_COST_SECONDS else 0.0
    max_cost = excluded + (lowest - excluded) * NEAR_BEST_FACTOR
    near_best = [item for cost, item in costs if cost <= max_cost]
    return near_best[min(len(near_best) - 1, int(draw * len(near_best)))]

"""What it costs to ask a searcher in another failure domain."""

from foxtailseam.locality._share import CROSSING_PRICE

# Cost that outweighs any queue, in seconds, for the side that a request is not to use.
# It decides only among searchers that are equally usable.
HELD_COST = 60.0


class DistanceCosts(dict[str, float]):
    """Cost of a request to each failure domain, in seconds; lower is better.

    A dictionary, since it is read for several searchers of each shard of each query. It
    gets an entry for each failure domain that is looked up.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this host.
    home : float
        Cost of a request within it.
    away : float
        Cost of a request to any other one.
    """

    def __init__(self, failure_domain: str, home: float, away: float):
        super().__init__({failure_domain: home})
        self.away = away

    def __missing__(self, failure_domain: str) -> float:
        self[failure_domain] = self.away
        return self.away


def calm_costs(failure_domain: str) -> DistanceCosts:
    """Return the costs while no share is kept: the price of crossing."""
    return DistanceCosts(failure_domain, 0.0, CROSSING_PRICE)


def staying_costs(failure_domain: str) -> DistanceCosts:
    """Return the costs of a request that stays if a home searcher is usable."""
    return DistanceCosts(failure_domain, 0.0, HELD_COST)


def leaving_costs(failure_domain: str) -> DistanceCosts:
    """Return the costs of a request that leaves if another searcher is usable."""
    return DistanceCosts(failure_domain, HELD_COST, 0.0)

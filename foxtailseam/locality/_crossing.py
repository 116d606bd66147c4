"""What it costs to ask a searcher in another failure domain."""

from foxtailseam.locality._share import CROSS_DOMAIN_COST_SECONDS

# Cost that outweighs any queue, in seconds, for the side that a request is not to use.
# It decides only among searchers that are equally usable.
EXCLUSION_COST_SECONDS = 60.0


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


def default_costs(failure_domain: str) -> DistanceCosts:
    """Return the costs while no share is kept: the price of crossing."""
    return DistanceCosts(failure_domain, 0.0, CROSS_DOMAIN_COST_SECONDS)


def prefer_local_costs(failure_domain: str) -> DistanceCosts:
    """Return the costs of a request that stays if a home searcher is usable."""
    return DistanceCosts(failure_domain, 0.0, EXCLUSION_COST_SECONDS)


def prefer_remote_costs(failure_domain: str) -> DistanceCosts:
    """Return the costs of a request that leaves if another searcher is usable."""
    return DistanceCosts(failure_domain, EXCLUSION_COST_SECONDS, 0.0)

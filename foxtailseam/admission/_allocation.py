"""Division of a scarce capacity among failure domains and priorities."""

from collections.abc import Mapping

# Requests per second of one failure domain, by rank of the priority.
Demand = tuple[float, ...]

# Each failure domain and each priority is served at least this fraction as often as all
# requests. A quarter is promised; the rest allows for chance and estimates.
MIN_SERVED_FRACTION = 0.4


def allocate(
    share: float, failure_domain: str, demands: Mapping[str, Demand]
) -> tuple[float, ...]:
    """Return the share of the requests to admit in one failure domain, by rank.

    The capacity is the joint share of all demand. Domains get equal parts of it, and
    what one does not need goes to the others. Within a domain higher priorities go
    first, except for the lower bound of each.

    Parameters
    ----------
    share : float
        Share of all requests that the fleet can serve, 0 to 1.
    failure_domain : str
        Failure domain of this host.
    demands : dict of str to tuple of float
        Demand of each failure domain; all tuples have the same length.
    """
    totals = {name: sum(rates) for name, rates in demands.items()}
    own_total = totals.get(failure_domain, 0.0)
    floor = MIN_SERVED_FRACTION * share
    if own_total <= 0.0:
        return (share,) * len(demands.get(failure_domain, (0.0,)))
    level = _fill_level(share * sum(totals.values()), sorted(totals.values()))
    domain_share = max(floor, min(1.0, level / own_total))
    remaining = (domain_share - floor) * own_total
    shares = []
    for rate in demands[failure_domain]:
        given = min(remaining, (1.0 - floor) * rate)
        remaining -= given
        part = floor + given / rate if rate > 0.0 else domain_share
        shares.append(min(1.0, part))
    return tuple(shares)


def _fill_level(capacity: float, totals: list[float]) -> float:
    """Return the largest amount that a domain gets, by max-min fairness.

    Parameters
    ----------
    capacity : float
        Capacity to divide.
    totals : list of float
        Demand of each domain, in ascending order.
    """
    for index, total in enumerate(totals):
        level = capacity / (len(totals) - index)
        if level <= total:
            return level
        capacity -= total
    return totals[-1]

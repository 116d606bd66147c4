"""Chooses the searcher for a request."""

from collections.abc import Iterable
from dataclasses import dataclass

# What a searcher in another failure domain costs beside its response time:
# traffic between domains, in seconds of response time.
OTHER_DOMAIN_SECONDS = 0.012
# What opening a connection adds.
NEW_CONNECTION_SECONDS = 0.006
# How much a failure costs, in typical response times.
FAILURE_COST = 6.0
# What a missing entry costs, in typical response times.
LAPSE_COST = 3.0
# Slower by this factor while a searcher warms up.
WARMUP_FACTOR = 1.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """A searcher as the choice sees it.

    Parameters
    ----------
    identifier : str
        The searcher.
    slowness : float
        Its response time as a multiple of the typical one.
    failure_share : float
        Recent share of failures, 0 to 1.
    in_flight, slots : int
        Own requests there, and how many it runs at a time.
    is_near : bool
        Whether it is in the same failure domain.
    has_connection : bool
        Whether a connection is idle.
    is_warming : bool
        Whether it started a short time ago.
    is_stalled : bool
        Whether a request there is overdue and nothing was heard since.
    is_lapsed : bool
        Whether its published entry is missing.
    is_ejected : bool
        Whether it is to be left alone.
    """

    identifier: str
    slowness: float = 1.0
    failure_share: float = 0.0
    in_flight: int = 0
    slots: int = 1
    is_near: bool = True
    has_connection: bool = True
    is_warming: bool = False
    is_stalled: bool = False
    is_lapsed: bool = False
    is_ejected: bool = False

    def expected(self, typical: float) -> float:
        """Return the expected time of a request, in seconds.

        Parameters
        ----------
        typical : float
            Typical response time of the request's route, in seconds.
        """
        queue = max(1.0, (self.in_flight + 1) / self.slots)
        return typical * self._speed * queue

    def cost(self, typical: float) -> float:
        """Return what tells better searchers from worse, in seconds.

        Parameters
        ----------
        typical : float
            Typical response time of the request's route, in seconds.
        """
        load = 1.0 + self.in_flight / self.slots
        cost = typical * (self._speed * load + FAILURE_COST * self.failure_share)
        if not self.is_near:
            cost += OTHER_DOMAIN_SECONDS
        if not self.has_connection:
            cost += NEW_CONNECTION_SECONDS
        if self.is_lapsed:
            cost += LAPSE_COST * typical
        return cost

    @property
    def _speed(self) -> float:
        return self.slowness * (WARMUP_FACTOR if self.is_warming else 1.0)


def choose(
    candidates: Iterable[Candidate], typical: float, draw: float = 0.0
) -> Candidate | None:
    """Return the best searcher, or None if there is none.

    One that is ejected is taken only if all are, one that stalls only if the
    others do. Among those whose cost is alike, `draw` decides.

    Parameters
    ----------
    candidates : iterable of Candidate
        The searchers that may be used.
    typical : float
        Typical response time of the request's route, in seconds.
    draw : float
        A random number from 0 to 1.
    """
    ranked = sorted(
        candidates,
        key=lambda item: (item.is_ejected, item.is_stalled, item.cost(typical)),
    )
    if not ranked:
        return None
    best = ranked[0]
    alike = [
        item
        for item in ranked
        if item.is_ejected == best.is_ejected
        and item.is_stalled == best.is_stalled
        and item.cost(typical) <= best.cost(typical) * 1.05
    ]
    return alike[min(len(alike) - 1, int(draw * len(alike)))]

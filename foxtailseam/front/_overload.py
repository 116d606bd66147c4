"""Refuses queries at once while the searchers of all shards have a queue."""

import random
from datetime import timedelta

from foxtailseam.admission import AdmissionController
from foxtailseam.clocks import Clock
from foxtailseam.dispatch import LatencyBaseline
from foxtailseam.routing import AllShards, Configuration, Route

# Part of the latency goal that enough shards may take beyond their least time
# before fewer queries are admitted.
QUEUE_SHARE = 0.5
# Share of the queries that may come to nothing before fewer are admitted.
MOST_SHEDS = 0.1
# Queries in flight on one host that searchers carry in any case.
LEAST_IN_FLIGHT = 3
# Queries in flight on one host; far above what searchers carry.
MOST_IN_FLIGHT = 512
# Part of the limit that is kept from each next less urgent kind of query.
PRIORITY_STEP = 0.25
LEAST_OPEN_SHARE = 0.4
# A refused caller comes back after this many typical queries, at random.
RETRY_SPREAD = (0.5, 2.0)


class OverloadGuard:
    """Bounds the queries in flight on this host, for each set of shards.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Spreads the callers that are sent back.
    """

    def __init__(self, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        self._admission = AdmissionController(
            clock, QUEUE_SHARE, LEAST_IN_FLIGHT, MOST_SHEDS
        )
        self._baselines: dict[str, LatencyBaseline] = {}
        self._typical: dict[str, float] = {}
        self._ranks: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Rank the routes of each set of shards by their priority."""
        priorities: dict[str, set[int]] = {}
        for route in configuration.routes:
            priorities.setdefault(_family(route), set()).add(route.priority)
        self._ranks = {
            route.name: sorted(priorities[_family(route)]).index(route.priority)
            for route in configuration.routes
        }

    def admit(self, route: Route) -> timedelta | None:
        """Count a query in, or return when its caller should come back."""
        share = 1.0 - PRIORITY_STEP * self._ranks.get(route.name, 0)
        share = max(LEAST_OPEN_SHARE, share)
        if self._admission.admit(_family(route), MOST_IN_FLIGHT, share):
            return None
        goal = route.latency_goal.total_seconds()
        typical = self._typical.get(route.name, goal / 2)
        return timedelta(seconds=typical * self.generator.uniform(*RETRY_SPREAD))

    def ended(
        self, route: Route, enough_time: float, duration: float, shed: bool
    ) -> None:
        """Count a query out.

        Parameters
        ----------
        route : Route
            Its route.
        enough_time : float
            Seconds within which enough shards for a success answered.
        duration : float
            Seconds that the whole query took.
        shed : bool
            Whether it came to nothing since searchers had no room or time for it.
        """
        baseline = self._baselines.setdefault(route.name, LatencyBaseline(self.clock))
        excess = timedelta(seconds=max(0.0, baseline.excess(enough_time)))
        self._typical[route.name] = duration
        family = _family(route)
        goal = route.latency_goal
        self._admission.release(family, MOST_IN_FLIGHT, excess, goal, shed)


def _family(route: Route) -> str:
    match route.destination:
        case AllShards(shards=(first, *_)):
            return first
        case _:
            return route.name

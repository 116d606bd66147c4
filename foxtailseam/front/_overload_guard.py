"""Admission control: refuses gather queries while all shards have queues."""

import random
from datetime import timedelta

from foxtailseam.admission import AdmissionController
from foxtailseam.clocks import Clock
from foxtailseam.dispatch import LatencyBaseline
from foxtailseam.routing import AllShards, Configuration, Route

# Queueing delay above which the admission limit is lowered, as a fraction of the time
# that a query without queueing has left at its latency goal.
QUEUE_SHARE = 0.3
# Fraction of the latency goal below which no time counts as left.
MIN_SPARE_SHARE = 0.2
# Fraction of queries that may fail for lack of capacity before the admission limit
# is lowered.
MAX_SHED_SHARE = 0.1
# Lower bound of the limit on queries in flight on one host; searchers always have
# capacity for this many.
MIN_IN_FLIGHT = 3
# Upper bound of the limit on queries in flight on one host; far above the capacity
# of the searchers.
MAX_IN_FLIGHT = 512
# Each lower priority class may use this fraction of the limit less than the class
# above it, but never less than MIN_LIMIT_SHARE of the limit.
PRIORITY_STEP = 0.25
MIN_LIMIT_SHARE = 0.4
# Range of the random factor by which the duration of the route's last query is
# multiplied to get the Retry-After of a refused query.
RETRY_JITTER = (0.5, 2.0)


class OverloadGuard:
    """Limits the queries in flight on this host, separately for each set of shards.

    The limit adapts to the queueing delay and to the failures for lack of capacity.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Source of the jitter of retry delays.
    """

    def __init__(self, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        self._admission = AdmissionController(
            clock, QUEUE_SHARE, MIN_IN_FLIGHT, MAX_SHED_SHARE
        )
        self._baselines: dict[str, LatencyBaseline] = {}
        self._last_durations: dict[str, float] = {}
        self._priority_ranks: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Rank the routes of each set of shards by priority; rank 0 is served first.

        Parameters
        ----------
        configuration : Configuration
            The active configuration.
        """
        priorities: dict[str, set[int]] = {}
        for route in configuration.routes:
            priorities.setdefault(_shard_group(route), set()).add(route.priority)
        self._priority_ranks = {
            route.name: sorted(priorities[_shard_group(route)]).index(route.priority)
            for route in configuration.routes
        }

    def admit(self, route: Route) -> timedelta | None:
        """Admit a query, or return how long its caller should wait before a retry.

        Each admitted query must be reported to `record_end` when it ends.

        Parameters
        ----------
        route : Route
            Route of the query.

        Returns
        -------
        timedelta or None
            None if the query is admitted; otherwise the retry delay.
        """
        share = 1.0 - PRIORITY_STEP * self._priority_ranks.get(route.name, 0)
        share = max(MIN_LIMIT_SHARE, share)
        if self._admission.admit(_shard_group(route), MAX_IN_FLIGHT, share):
            return None
        goal = route.latency_goal.total_seconds()
        duration = self._last_durations.get(route.name, goal / 2)
        return timedelta(seconds=duration * self.generator.uniform(*RETRY_JITTER))

    def record_end(
        self, route: Route, time_to_quorum: float | None, duration: float, shed: bool
    ) -> None:
        """Record the end of an admitted query and adapt the limit.

        Parameters
        ----------
        route : Route
            Route of the query.
        time_to_quorum : float or None
            Seconds until enough shards for a successful answer had responded; None if
            too few had.
        duration : float
            Duration of the whole query in seconds.
        shed : bool
            Whether it failed because searchers lacked the capacity or time to run it.
        """
        baseline = self._baselines.setdefault(route.name, LatencyBaseline(self.clock))
        if time_to_quorum is not None:
            baseline.record(time_to_quorum)
            self._last_durations[route.name] = duration
        seconds = duration if time_to_quorum is None else time_to_quorum
        excess = timedelta(seconds=baseline.excess(seconds))
        shard_group = _shard_group(route)
        self._admission.release(
            shard_group, MAX_IN_FLIGHT, excess, _spare_time(route, baseline), shed
        )


def _spare_time(route: Route, baseline: LatencyBaseline) -> timedelta:
    """Return the time that a query without queueing has left at its latency goal.

    If it misses the goal anyway, this is the time left at the route's timeout.
    """
    unqueued = timedelta(seconds=baseline.seconds)
    spare = route.latency_goal - unqueued
    if spare < MIN_SPARE_SHARE * route.latency_goal:
        spare = max(route.timeout - unqueued, route.latency_goal)
    return spare


def _shard_group(route: Route) -> str:
    match route.destination:
        case AllShards(shards=(first, *_)):
            return first
        case _:
            return route.name

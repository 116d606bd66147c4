"""Admission control: refuses gather queries while all shards have queues."""

import math
import random
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.admission import AdaptiveThrottle, AdmissionController, FleetAdmission
from foxtailseam.clocks import Clock
from foxtailseam.dispatch import LatencyBaseline
from foxtailseam.routing import AllShards, Configuration, Route

# Queueing delay above which the admission limit is lowered, as a fraction of the time
# that a query without queueing has left at its latency goal.
QUEUE_SHARE = 0.3
# Queueing delay at half of the shards above which a smaller share of the queries is
# admitted, as a fraction of the same time. It is longer, since the limit of the queries
# in flight is to act first.
THROTTLE_SHARE = 0.5
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
# Range of the random factor of the Retry-After of a refused query.
RETRY_JITTER = (0.5, 2.0)
# Period whose refused queries the fleet is to serve within the Retry-After, before
# jitter, and the upper bound of the time for that, in seconds.
DRAIN_SECONDS = 1.0
MAX_DRAIN_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class QueryDuration:
    """How long a query took, in seconds.

    Parameters
    ----------
    to_half : float or None
        Time until half of the shards had responded; None if fewer had.
    to_quorum : float or None
        Time until enough shards for a successful answer had responded; None if too
        few had.
    total : float
        Time until it ended.
    """

    to_half: float | None
    to_quorum: float | None
    total: float


class OverloadGuard:
    """Limits the queries of this host, separately for each set of shards.

    The limit of the queries in flight adapts to the queueing delay and to the failures
    for lack of capacity. Where many hosts share the searchers, each of them has too few
    queries in flight for such a limit; the share of queries that is admitted then
    adapts to the delay.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Source of the jitter of retry delays.

    Attributes
    ----------
    fleet : FleetAdmission
        Joint shares of all hosts, which go before those of this host.
    """

    def __init__(self, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        self._admission = AdmissionController(
            clock, QUEUE_SHARE, MIN_IN_FLIGHT, MAX_SHED_SHARE
        )
        self.fleet = FleetAdmission(clock)
        self._throttles: dict[str, AdaptiveThrottle] = {}
        self._baselines: dict[str, LatencyBaseline] = {}
        # Estimates of the time to half of the shards.
        self._half_baselines: dict[str, LatencyBaseline] = {}
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
        rank = self._priority_ranks.get(route.name, 0)
        limit_share = max(MIN_LIMIT_SHARE, 1.0 - PRIORITY_STEP * rank)
        shard_group = _shard_group(route)
        self.fleet.count_arrival(shard_group, rank)
        admitted_share = self.fleet.admitted_share(shard_group, rank)
        if admitted_share is None:
            # A lower priority class is throttled sooner.
            admitted_share = self._throttle(shard_group).admitted_share ** (1 + rank)
        if self.generator.random() < admitted_share and self._admission.admit(
            shard_group, MAX_IN_FLIGHT, limit_share
        ):
            return None
        return timedelta(seconds=self._retry_delay(route, shard_group))

    def allows_hedges(self, route: Route) -> bool:
        """Return whether requests may be hedged: not while the fleet is overloaded.

        Parameters
        ----------
        route : Route
            Route of the request.
        """
        return self.fleet.share(_shard_group(route)) is None

    def _retry_delay(self, route: Route, shard_group: str) -> float:
        goal = route.latency_goal.total_seconds()
        delay = self._last_durations.get(route.name, goal / 2)
        share = self.fleet.share(shard_group)
        if share is not None:
            # The fleet serves `share` of the requests that arrive, so it needs this
            # long to serve those that it refuses in `DRAIN_SECONDS`.
            drain = DRAIN_SECONDS * (1.0 - share) / share
            delay = max(delay, min(MAX_DRAIN_SECONDS, drain))
        return delay * self.generator.uniform(*RETRY_JITTER)

    def describe(self, route: Route) -> dict[str, object]:
        """Return what the admission of a route's queries depends on, for the log."""
        shard_group = _shard_group(route)
        joint_share = self.fleet.share(shard_group)
        own_share = self._throttle(shard_group).admitted_share
        return {
            "admitted_share": round(
                own_share if joint_share is None else joint_share, 2
            ),
            "running": self._admission.in_flight(shard_group),
            "limit": round(min(MAX_IN_FLIGHT, self._admission.limit(shard_group)), 1),
        }

    def record_end(self, route: Route, duration: QueryDuration, shed: bool) -> None:
        """Record the end of an admitted query and adapt the limits.

        Parameters
        ----------
        route : Route
            Route of the query.
        duration : QueryDuration
            How long the query took.
        shed : bool
            Whether it failed because searchers lacked the capacity or time to run it.
        """
        baseline = self._baselines.setdefault(route.name, LatencyBaseline(self.clock))
        seconds = duration.to_quorum
        if seconds is None:
            seconds = duration.total
        else:
            baseline.record(seconds)
            self._last_durations[route.name] = duration.total
        excess = timedelta(seconds=baseline.excess(seconds))
        spare = _spare_time(route, baseline)
        self._admission.release(_shard_group(route), MAX_IN_FLIGHT, excess, spare, shed)
        self._adapt_throttle(route, duration, spare, shed)

    def _adapt_throttle(
        self, route: Route, duration: QueryDuration, spare: timedelta, shed: bool
    ) -> None:
        throttle = self._throttle(_shard_group(route))
        if shed:
            throttle.record(math.inf)
            self.fleet.record(_shard_group(route), math.inf)
        elif duration.to_half is not None:
            baseline = self._half_baselines.setdefault(
                route.name, LatencyBaseline(self.clock)
            )
            baseline.record(duration.to_half)
            tolerated = THROTTLE_SHARE * spare.total_seconds()
            delay = baseline.excess(duration.to_half) / tolerated
            throttle.record(delay)
            self.fleet.record(_shard_group(route), delay)

    def _throttle(self, shard_group: str) -> AdaptiveThrottle:
        throttle = self._throttles.get(shard_group)
        if throttle is None:
            throttle = self._throttles[shard_group] = AdaptiveThrottle(self.clock)
        return throttle


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

"""Computes the points in time by which a request must be answered."""

from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.dispatch import QueryTimes
from foxtailseam.routing import Route

# Upper bound of the time planned for the host's own delay, as a fraction of the latency
# goal: a later answer is then better than one that lacks many shards.
MAX_DELAY_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """How a route's latency goal, measured at the caller, maps to this host.

    Parameters
    ----------
    assumed_network_delay : timedelta
        Network time of request and response together, used where it was not
        measured.
    processing_time : timedelta
        Least time that this host needs to read a request and write its response.
    goal_share : float
        Fraction of the latency goal to plan for, 0 to 1; the rest is a margin.
    late_factor : float
        A response that missed the latency goal waits for missing shards until this
        multiple of the goal.
    """

    assumed_network_delay: timedelta = timedelta(milliseconds=6)
    processing_time: timedelta = timedelta(milliseconds=2)
    goal_share: float = 0.97
    late_factor: float = 1.25


def query_times(
    route: Route,
    arrived_at: float,
    network_delay: float | None,
    remaining: timedelta | None,
    settings: TimingSettings,
    answer_delay: float = 0.0,
) -> QueryTimes:
    """Return the points in time by which a request must be answered.

    Parameters
    ----------
    route : Route
        Route of the request, with its timeout and latency goal.
    arrived_at : float
        Arrival time of the request in seconds of the monotonic clock.
    network_delay : float or None
        Network time of request and response together in seconds; None if unknown.
    remaining : timedelta or None
        Time until the caller's own deadline; None if it sent none.
    settings : TimingSettings
        Allowances for network and processing time.
    answer_delay : float
        Time in seconds by which answers currently leave this host later than planned.

    Returns
    -------
    QueryTimes
        Times in seconds of the monotonic clock.
    """
    if network_delay is None:
        network_delay = settings.assumed_network_delay.total_seconds()
    goal = route.latency_goal.total_seconds()
    delay = max(settings.processing_time.total_seconds(), answer_delay)
    overhead = network_delay + min(delay, goal * MAX_DELAY_SHARE)
    timeout = route.timeout.total_seconds()
    if remaining is not None:
        timeout = min(timeout, remaining.total_seconds() - overhead)
    goal_remaining = min(timeout, goal * settings.goal_share - overhead)
    late_remaining = min(timeout, goal * settings.late_factor)
    return QueryTimes(
        started_at=arrived_at,
        goal_at=arrived_at + goal_remaining,
        goal_limit_at=arrived_at + min(timeout, goal - overhead),
        late_answer_at=arrived_at + late_remaining,
        deadline_at=arrived_at + timeout,
    )

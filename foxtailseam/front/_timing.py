"""When a request must be answered."""

from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.dispatch import QueryTimes
from foxtailseam.routing import Route


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """How the latency goal of a caller becomes one of this host.

    Parameters
    ----------
    assumed_transit : timedelta
        Time that request and answer are on their way, where it is not known.
    work : timedelta
        Time that reading a request and writing its answer take here.
    goal_share : float
        Part of the latency goal that is used.
    late_factor : float
        An answer that missed its goal waits for missing shards until this many
        times the goal.
    """

    assumed_transit: timedelta = timedelta(milliseconds=6)
    work: timedelta = timedelta(milliseconds=2)
    goal_share: float = 0.97
    late_factor: float = 1.25


def query_times(
    route: Route,
    arrived_at: float,
    transit: float | None,
    remaining: timedelta | None,
    settings: TimingSettings,
) -> QueryTimes:
    """Return when a request must be answered.

    Parameters
    ----------
    route : Route
        Timeout and latency goal.
    arrived_at : float
        When the request arrived, in seconds.
    transit : float or None
        Seconds that request and answer are on their way; None if unknown.
    remaining : timedelta or None
        How long the caller waits; None if it doesn't say.
    settings : TimingSettings
        How the goal is read.
    """
    if transit is None:
        transit = settings.assumed_transit.total_seconds()
    distance = transit + settings.work.total_seconds()
    deadline = route.timeout.total_seconds()
    if remaining is not None:
        deadline = min(deadline, remaining.total_seconds() - distance)
    goal = route.latency_goal.total_seconds()
    goal_left = min(deadline, goal * settings.goal_share - distance)
    late_left = min(deadline, goal * settings.late_factor)
    return QueryTimes(
        started_at=arrived_at,
        goal_at=arrived_at + goal_left,
        goal_limit_at=arrived_at + min(deadline, goal - transit),
        late_answer_at=arrived_at + late_left,
        deadline_at=arrived_at + deadline,
    )

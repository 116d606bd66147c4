"""Planned shutdown of a host: its steps, and which requests it still takes."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.dispatch import Dispatcher, QueryTimes
from foxtailseam.http import Listener
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.routing import Route
from foxtailseam.utils import describe_error

# Grace period for which the times below are meant; a shorter one shortens them all.
PLANNED_GRACE_SECONDS = 6.0
# The load balancer removes a host after two failed readiness checks, which it sends
# once a second.
BALANCER_LAG_SECONDS = 2.3
# Time in which responses close their connections before the listening socket closes.
CONNECTION_CLOSE_SECONDS = 0.4
# Time in which a caller whose connection was just made sends its first request.
FIRST_REQUEST_SECONDS = 0.3
# Part of the grace period that is kept for failing the requests that still run, and
# for the end of the process once their responses are sent.
END_MARGIN_SECONDS = 0.5
EXIT_MARGIN_SECONDS = 0.15
# After a suspension several steps are due at once; callers' bytes are read in between.
MIN_STEP_SECONDS = 0.05
POLL_SECONDS = 0.02
# Quantile of a route's response times that a new request must have time for.
RESPONSE_QUANTILE = 0.9


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of the steps of a shutdown, in seconds of the monotonic clock.

    Parameters
    ----------
    close_responses_at : float
        From then on each response closes its connection.
    close_listener_at : float
        Connections that wait are accepted, and no more come.
    close_unused_at : float
        Connections that have sent no request are closed.
    end_requests_at : float
        The requests that still run are failed.
    exit_at : float
        The process ends, whatever is left.
    """

    close_responses_at: float
    close_listener_at: float
    close_unused_at: float
    end_requests_at: float
    exit_at: float


def plan_shutdown(started_at: float, grace: timedelta) -> ShutdownSchedule:
    """Return the steps of a shutdown.

    Parameters
    ----------
    started_at : float
        Monotonic time of the signal in seconds.
    grace : timedelta
        Time from the signal until the process is killed.
    """
    seconds = grace.total_seconds()
    scale = min(1.0, seconds / PLANNED_GRACE_SECONDS)
    close_responses_at = started_at + scale * BALANCER_LAG_SECONDS
    close_listener_at = close_responses_at + scale * CONNECTION_CLOSE_SECONDS
    return ShutdownSchedule(
        close_responses_at=close_responses_at,
        close_listener_at=close_listener_at,
        close_unused_at=close_listener_at + scale * FIRST_REQUEST_SECONDS,
        end_requests_at=started_at + seconds - scale * END_MARGIN_SECONDS,
        exit_at=started_at + seconds - scale * EXIT_MARGIN_SECONDS,
    )


class ShutdownLimit:
    """Limits new requests to what can be answered before the host ends.

    Parameters
    ----------
    dispatcher : Dispatcher
        Knows the response times of the routes.

    Attributes
    ----------
    ends_at : float
        Monotonic time by which every request has its response, in seconds; infinite
        unless the host shuts down.
    """

    def __init__(self, dispatcher: Dispatcher):
        self.dispatcher = dispatcher
        self.ends_at = math.inf

    def can_answer(self, route: Route) -> bool:
        """Return whether a new request is likely to be answered before the end.

        Parameters
        ----------
        route : Route
            Route of the request.
        """
        times = self.dispatcher.response_times(route)
        left = self.ends_at - self.dispatcher.clock.monotonic()
        return times.quantile(RESPONSE_QUANTILE) < left

    def shorten(self, times: QueryTimes) -> QueryTimes:
        """Return the times of a request without what lies after the end."""
        return replace(
            times,
            goal_at=min(times.goal_at, self.ends_at),
            goal_limit_at=min(times.goal_limit_at, self.ends_at),
            late_answer_at=min(times.late_answer_at, self.ends_at),
            deadline_at=min(times.deadline_at, self.ends_at),
        )


class Shutdown:
    """Ends the work of a host step by step, so that each request gets a response.

    Parameters
    ----------
    schedule : ShutdownSchedule
        Times of the steps.
    listener : Listener
        Listener for callers.
    count_running : callable
        Returns the number of requests that wait for searchers or another host.
    abort : callable
        Fails the requests that still run.
    leave : callable
        Coroutine function that tells other hosts that this one leaves.
    clock : Clock
        Source of monotonic time.
    log : LogWriter
        Log that receives an event if requests have to be failed.
    """

    def __init__(
        self,
        schedule: ShutdownSchedule,
        listener: Listener,
        count_running: Callable[[], int],
        abort: Callable[[], None],
        leave: Callable[[], Awaitable[None]],
        clock: Clock,
        log: LogWriter,
    ):
        self.schedule = schedule
        self.listener = listener
        self.count_running = count_running
        self.abort = abort
        self.leave = leave
        self.clock = clock
        self.log = log

    async def run(self) -> None:
        """Carry out the steps; returns once all responses are sent or time is up."""
        schedule, listener = self.schedule, self.listener
        leaving = asyncio.create_task(self._leave())
        await self._wait_for_step(schedule.close_responses_at)
        listener.drain()
        await self._wait_for_step(schedule.close_listener_at)
        await listener.stop_accepting()
        await self._wait_for_step(schedule.close_unused_at)
        listener.close_idle()
        await self._poll_until(schedule.end_requests_at)
        if self._unfinished:
            self.log.write(EventCode.DRAIN_BOUND_REACHED, in_flight=self._unfinished)
            self.abort()
            listener.reject_incomplete()
            await self._poll_until(schedule.exit_at)
        listener.stop()
        leaving.cancel()

    @property
    def _unfinished(self) -> int:
        return max(self.listener.unfinished, self.count_running())

    async def _wait_for_step(self, at: float) -> None:
        delay = at - self.clock.monotonic()
        await asyncio.sleep(max(MIN_STEP_SECONDS, delay))

    async def _poll_until(self, end: float) -> None:
        """Wait until nothing is left to do, at the longest until a point in time."""
        while self._unfinished and self.clock.monotonic() < end:
            await asyncio.sleep(POLL_SECONDS)

    async def _leave(self) -> None:
        try:
            await self.leave()
        except Exception as error:
            # Callers still have to get their responses.
            self.log.write(
                EventCode.TASK_FAILED, task="Shutdown.leave", **describe_error(error)
            )

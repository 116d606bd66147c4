"""Runs steps of periodic work."""

from collections.abc import Callable, Mapping
from datetime import timedelta

from foxtailseam.clocks import Clock, TimerHandle, Timers
from foxtailseam.supervision._supervisor import Supervisor


class PeriodicWork:
    """Calls some functions in each round; one that fails stops no other one.

    Parameters
    ----------
    steps : mapping of str to callable
        Functions to call, by their names in the log.
    interval : timedelta
        Time from the start of one round to the next.
    on_delay : callable
        Called with the time by which a round begins late.
    supervisor : Supervisor
        Runs the steps.
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Schedules the rounds.
    """

    def __init__(
        self,
        steps: Mapping[str, Callable[[], object]],
        interval: timedelta,
        on_delay: Callable[[timedelta], None],
        supervisor: Supervisor,
        clock: Clock,
        timers: Timers,
    ):
        self.steps = steps
        self.interval = interval
        self.on_delay = on_delay
        self.supervisor = supervisor
        self.clock = clock
        self.timers = timers
        self._due_at = clock.monotonic()
        self._timer: TimerHandle | None = None

    def run(self) -> None:
        """Run a round, and all further ones at their time."""
        delay = timedelta(seconds=max(0.0, self.clock.monotonic() - self._due_at))
        self._due_at = self.clock.monotonic() + self.interval.total_seconds()
        self._timer = self.timers.call_later(self.interval.total_seconds(), self.run)
        self.on_delay(delay)
        for name, step in self.steps.items():
            self.supervisor.run_step(name, step)

"""Runs background tasks and begins them again when they fail."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from foxtailseam.clocks import Clock
from foxtailseam.logs import EventCode
from foxtailseam.supervision._failures import FailureLog
from foxtailseam.supervision._restart import RestartSettings, restart_backoff


@dataclass(slots=True)
class _Work:
    """A supervised task with its failures in a row."""

    name: str
    run: Callable[[], Awaitable[None]]
    begun_at: float = float("-inf")
    failures: int = 0


class Supervisor:
    """Runs tasks and steps whose failures must not end the process or stay hidden.

    Parameters
    ----------
    failures : FailureLog
        Receives the failures.
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Adds jitter to the backoff.
    settings : RestartSettings or None
        Timing of the restarts; None for the usual one.
    sleep : callable
        Coroutine function that waits for a number of seconds.
    """

    def __init__(
        self,
        failures: FailureLog,
        clock: Clock,
        generator: random.Random,
        settings: RestartSettings | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self.failures = failures
        self.clock = clock
        self.generator = generator
        self.settings = settings or RestartSettings()
        self.sleep = sleep
        # The event loop keeps only weak references to tasks.
        self._tasks: set[asyncio.Task] = set()

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task:
        """Start a task that is begun again after a backoff whenever it fails.

        Parameters
        ----------
        name : str
            Name in the log.
        run : callable
            Coroutine function that does the work until it returns or is cancelled.

        Returns
        -------
        asyncio.Task
            Task to cancel; it raises nothing but the cancellation.
        """
        return self._keep(asyncio.create_task(self._supervise(_Work(name, run))))

    def run_once(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task:
        """Start a task that is not begun again; a failure is recorded.

        Parameters
        ----------
        name : str
            Name in the log.
        run : callable
            Coroutine function that does the work.

        Returns
        -------
        asyncio.Task
            Task that returns whether the work was done; it raises nothing but the
            cancellation.
        """
        return self._keep(asyncio.create_task(self._attempt(name, run)))

    def run_step(self, name: str, step: Callable[[], object]) -> bool:
        """Call a function; record its failure and return whether there was none.

        Parameters
        ----------
        name : str
            Name in the log.
        step : callable
            Function to call.
        """
        try:
            step()
        except Exception as error:
            self.record(name, error)
            return False
        return True

    def record(self, name: str, error: BaseException) -> None:
        """Record the failure of work that is not begun again."""
        self.failures.record(EventCode.TASK_FAILED, name, error)

    def _keep(self, task: asyncio.Task) -> asyncio.Task:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _attempt(self, name: str, run: Callable[[], Awaitable[None]]) -> bool:
        try:
            await run()
        except (Exception, asyncio.CancelledError) as error:
            if _is_own_cancellation(error):
                raise
            self.record(name, error)
            return False
        return True

    async def _supervise(self, work: _Work) -> None:
        while True:
            work.begun_at = self.clock.monotonic()
            try:
                await work.run()
                return
            except (Exception, asyncio.CancelledError) as error:
                if _is_own_cancellation(error):
                    raise
                pause = self._record_restart(work, error)
            await self.sleep(pause)

    def _record_restart(self, work: _Work, error: BaseException) -> float:
        """Record a failure and return the seconds until the task is begun again."""
        elapsed = self.clock.monotonic() - work.begun_at
        is_stable = elapsed >= self.settings.stable_time.total_seconds()
        work.failures = 1 if is_stable else work.failures + 1
        pause = restart_backoff(work.failures, self.settings, self.generator)
        self.failures.record(
            EventCode.TASK_FAILED,
            work.name,
            error,
            failures=work.failures,
            restart_ms=round(pause * 1000),
        )
        return pause


def _is_own_cancellation(error: BaseException) -> bool:
    """Return whether the current task was cancelled, and not what it waited for."""
    is_cancellation = isinstance(error, asyncio.CancelledError)
    return is_cancellation and asyncio.current_task().cancelling() > 0

"""Holds requests that arrive before the host has its first configuration."""

from collections.abc import Callable
from datetime import timedelta

from foxtailseam.clocks import Clock, TimerHandle, Timers
from foxtailseam.http import Call

# The first configuration arrives within this time of the start unless the
# configuration service and all other hosts are unreachable.
MAX_STARTUP_WAIT = timedelta(milliseconds=300)
# Fraction of a caller's remaining time that may be spent waiting for it.
MAX_WAIT_SHARE = 0.25


def startup_wait(since_start: float, remaining: timedelta | None) -> float:
    """Return how long a request may wait for the first configuration, in seconds.

    Parameters
    ----------
    since_start : float
        Seconds since the process began to serve.
    remaining : timedelta or None
        Time until the caller's deadline; None if it sent none.
    """
    wait = MAX_STARTUP_WAIT.total_seconds() - since_start
    if remaining is not None:
        wait = min(wait, MAX_WAIT_SHARE * remaining.total_seconds())
    return max(0.0, wait)


class StartupQueue:
    """Queues early requests until the first configuration arrives or they time out.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Scheduler of delayed callbacks.
    """

    def __init__(self, clock: Clock, timers: Timers):
        self.clock = clock
        self.timers = timers
        self._started_at = clock.monotonic()
        self._waiting: dict[Call, TimerHandle] = {}

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    def enqueue(
        self,
        call: Call,
        remaining: timedelta | None,
        reject: Callable[[Call], None],
    ) -> None:
        """Queue a request, or reject it at once if it has no time to wait.

        Parameters
        ----------
        call : Call
            The request.
        remaining : timedelta or None
            Time until the caller's deadline; None if it sent none.
        reject : callable
            Called with the request if it may not wait, or if no configuration
            arrived while it waited.
        """
        since_start = self.clock.monotonic() - self._started_at
        wait = startup_wait(since_start, remaining)
        if not wait:
            reject(call)
            return

        def expire() -> None:
            del self._waiting[call]
            reject(call)

        self._waiting[call] = self.timers.call_later(wait, expire)
        call.on_disconnect = lambda: self._remove(call)

    def release(self, serve: Callable[[Call], None]) -> None:
        """Serve all queued requests after the first configuration took effect.

        Parameters
        ----------
        serve : callable
            Called with each request.
        """
        # The searchers' entries are part of the same read and are applied right
        # after the configuration, so serving is deferred to the event loop.
        self.timers.call_later(0.0, self._release, serve)

    def _release(self, serve: Callable[[Call], None]) -> None:
        waiting, self._waiting = self._waiting, {}
        for call, timer in waiting.items():
            timer.cancel()
            call.on_disconnect = None
            serve(call)

    def _remove(self, call: Call) -> None:
        self._waiting.pop(call).cancel()

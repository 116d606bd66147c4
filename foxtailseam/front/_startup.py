"""Requests that come before the host knows its first configuration."""

from collections.abc import Callable
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.dispatch import TimerHandle, Timers
from foxtailseam.http import Call

# The first configuration comes within this time of the start unless the
# configuration service and all other hosts are away.
STARTUP_PATIENCE = timedelta(milliseconds=300)
# Part of the time a caller has left that is spent on waiting for it.
WAITING_SHARE = 0.25


def startup_wait(since_start: float, remaining: timedelta | None) -> float:
    """Return how long a request may wait for the first configuration, in seconds.

    Parameters
    ----------
    since_start : float
        Seconds since the process began to serve.
    remaining : timedelta or None
        How long the caller waits; None if it doesn't say.
    """
    wait = STARTUP_PATIENCE.total_seconds() - since_start
    if remaining is not None:
        wait = min(wait, WAITING_SHARE * remaining.total_seconds())
    return max(0.0, wait)


class StartupLine:
    """Keeps early requests until there is a configuration, or for a moment.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Calls functions later.
    """

    def __init__(self, clock: Clock, timers: Timers):
        self.clock = clock
        self.timers = timers
        self._started_at = clock.monotonic()
        self._waiting: dict[Call, TimerHandle] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def join(
        self,
        call: Call,
        remaining: timedelta | None,
        refuse: Callable[[Call], None],
    ) -> None:
        """Keep a request, or refuse it at once if it has no time to wait.

        Parameters
        ----------
        call : Call
            The request.
        remaining : timedelta or None
            How long the caller waits; None if it doesn't say.
        refuse : callable
            Called with the request when it has waited in vain.
        """
        since_start = self.clock.monotonic() - self._started_at
        wait = startup_wait(since_start, remaining)
        if not wait:
            refuse(call)
            return

        def end() -> None:
            del self._waiting[call]
            refuse(call)

        self._waiting[call] = self.timers.call_later(wait, end)
        call.on_disconnect = lambda: self._leave(call)

    def release(self, serve: Callable[[Call], None]) -> None:
        """Serve everything that waits: there is a configuration."""
        # Its searchers come with the same reading, just after it.
        self.timers.call_later(0.0, self._release, serve)

    def _release(self, serve: Callable[[Call], None]) -> None:
        waiting, self._waiting = self._waiting, {}
        for call, timer in waiting.items():
            timer.cancel()
            call.on_disconnect = None
            serve(call)

    def _leave(self, call: Call) -> None:
        self._waiting.pop(call).cancel()

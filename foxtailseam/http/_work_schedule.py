"""Time slices of the event loop for connections that have received data."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from foxtailseam.clocks import Clock

# Time that the connections of one listener may use in an iteration of the event loop,
# in seconds; the last slice may exceed it.
MAX_TURN_SECONDS = 0.005
# Time after which a connection leaves the rest of its data to its next turn, in
# seconds.
MAX_SLICE_SECONDS = 0.0005


class Worker(Protocol):
    """Connection whose received data is to be processed."""

    def work(self, end: float) -> bool:
        """Process data; return whether more can be done at once.

        At least one piece is processed, so that each connection advances.

        Parameters
        ----------
        end : float
            Monotonic time after which no further piece is processed, in seconds.
        """

    def abort(self) -> None:
        """Close the connection at once."""


def call_soon(function: Callable[[], None]) -> None:
    """Call a function in the next iteration of the running event loop."""
    asyncio.get_running_loop().call_soon(function)


class WorkSchedule:
    """Lets connections process their data in turn, for a limited time per iteration.

    Parameters
    ----------
    clock : Clock
        Clock that provides monotonic time in seconds.
    on_error : callable
        Called with each exception of a connection, which is closed.
    call_soon : callable
        Calls a function in the next iteration of the event loop.
    """

    def __init__(
        self,
        clock: Clock,
        on_error: Callable[[Exception], None],
        call_soon: Callable[[Callable[[], None]], None] = call_soon,
    ):
        self._clock = clock
        self._on_error = on_error
        self._call_soon = call_soon
        # The keys are the connections with work, the one that waits longest first.
        self._waiting: dict[Worker, None] = {}
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, worker: Worker) -> None:
        """Let a connection work in its turn, unless it already waits for it."""
        self._waiting.setdefault(worker)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def discard(self, worker: Worker) -> None:
        """Forget a connection that is closed."""
        self._waiting.pop(worker, None)

    def _run(self) -> None:
        self._is_scheduled = False
        now = self._clock.monotonic()
        end = now + MAX_TURN_SECONDS
        while self._waiting and now < end:
            worker = next(iter(self._waiting))
            del self._waiting[worker]
            if self._work(worker, now + MAX_SLICE_SECONDS):
                self._waiting.setdefault(worker)
            now = self._clock.monotonic()
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _work(self, worker: Worker, end: float) -> bool:
        try:
            return worker.work(end)
        except Exception as error:
            worker.abort()
            self._on_error(error)
            return False

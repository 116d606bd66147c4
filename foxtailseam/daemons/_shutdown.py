"""Graceful shutdown: waits for requests in flight, up to a limit."""

import asyncio
import signal
from collections.abc import Callable

from foxtailseam.clocks import Clock
from foxtailseam.settings import ShutdownSettings

POLL_INTERVAL_SECONDS = 0.02


class InFlightCounter:
    """Context manager that counts requests in flight; not thread-safe."""

    def __init__(self):
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    def __enter__(self):
        self._count += 1
        return self

    def __exit__(self, *_):
        self._count -= 1


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT; further signals have no effect."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


async def wait_until_idle(
    in_flight: Callable[[], int], settings: ShutdownSettings, clock: Clock
) -> bool:
    """Keep serving for the load balancer's lag, then wait for requests in flight.

    Parameters
    ----------
    in_flight : callable
        Returns the number of requests in flight.
    settings : ShutdownSettings
        Lag of the load balancer, and the longest wait after it.
    clock : Clock
        Source of monotonic time.

    Returns
    -------
    bool
        False if requests were still in flight after the longest wait.
    """
    await asyncio.sleep(settings.balancer_lag.total_seconds())
    deadline = clock.monotonic() + settings.bound.total_seconds()
    while in_flight():
        if clock.monotonic() >= deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return True

"""Graceful shutdown: nothing in flight is cut, within a bound."""

import asyncio
import signal
from collections.abc import Callable

from foxtailseam.clocks import Clock
from foxtailseam.settings import ShutdownSettings

CHECK_SECONDS = 0.02


class WorkCounter:
    """Counts requests in flight; to be used from one event loop."""

    def __init__(self):
        self._count = 0

    @property
    def count(self) -> int:
        """Return how many requests are in flight."""
        return self._count

    def __enter__(self):
        self._count += 1
        return self

    def __exit__(self, *_):
        self._count -= 1


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT; further ones change nothing."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def wait_until_idle(
    in_flight: Callable[[], int], settings: ShutdownSettings, clock: Clock
) -> bool:
    """Serve on while the balancer lags, then wait for what is in flight.

    Returns
    -------
    bool
        False if the bound was reached with requests in flight.
    """
    await asyncio.sleep(settings.balancer_lag.total_seconds())
    give_up_at = clock.monotonic() + settings.bound.total_seconds()
    while in_flight():
        if clock.monotonic() >= give_up_at:
            return False
        await asyncio.sleep(CHECK_SECONDS)
    return True

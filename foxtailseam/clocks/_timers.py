"""Interface of timers, for code that schedules calls but performs no I/O."""

from collections.abc import Callable
from typing import Protocol


class TimerHandle(Protocol):
    """Handle of a scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the scheduled call."""


class Timers(Protocol):
    """Schedules delayed calls; an asyncio event loop satisfies this protocol."""

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> TimerHandle:
        """Call `callback` after `delay` seconds."""

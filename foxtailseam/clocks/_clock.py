"""The clock interface and its two implementations."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for every component; passed in, never imported."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def now(self) -> datetime:
        """Return the wall time, aware, in UTC."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the wall time, aware, in UTC."""
        return datetime.now(UTC)


class SuspendAwareClock:
    """A clock of the operating system that also counts the time of a suspension."""

    def monotonic(self) -> float:
        """Return seconds since the host was started, suspended or not."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the wall time, aware, in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """A clock that moves only when told to; for tests and exploration.

    Parameters
    ----------
    start : datetime, optional
        Wall time at monotonic zero.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self.start = start
        self._elapsed = timedelta()

    def advance(self, step: timedelta) -> None:
        """Move both times forward by `step`."""
        self._elapsed += step

    def monotonic(self) -> float:
        """Return seconds since the start."""
        return self._elapsed.total_seconds()

    def now(self) -> datetime:
        """Return the wall time, aware, in UTC."""
        return self.start + self._elapsed

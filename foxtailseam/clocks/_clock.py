"""The clock interface and its implementations."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time, always passed in as a parameter so that it can be replaced."""

    def monotonic(self) -> float:
        """Return the time of a clock that never goes backward, in seconds."""

    def now(self) -> datetime:
        """Return the wall time as a timezone-aware datetime in UTC."""


class SystemClock:
    """Clock of the operating system; its monotonic time may stop while suspended."""

    def monotonic(self) -> float:
        """Return the time of a clock that never goes backward, in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the wall time as a timezone-aware datetime in UTC."""
        return datetime.now(UTC)


class SuspendAwareClock:
    """Clock of the operating system whose monotonic time includes suspensions."""

    def monotonic(self) -> float:
        """Return the seconds since the host booted, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime:
        """Return the wall time as a timezone-aware datetime in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Clock that advances only on request, for tests.

    Parameters
    ----------
    start : datetime, optional
        Wall time at which the monotonic time is 0.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self.start = start
        self._elapsed = timedelta()

    def advance(self, step: timedelta) -> None:
        """Advance the monotonic time and the wall time by `step`."""
        self._elapsed += step

    def monotonic(self) -> float:
        """Return the seconds by which the clock has been advanced."""
        return self._elapsed.total_seconds()

    def now(self) -> datetime:
        """Return the wall time as a timezone-aware datetime in UTC."""
        return self.start + self._elapsed

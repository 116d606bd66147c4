"""Clock interface and implementations, hybrid logical clock, pause detection."""

from foxtailseam.clocks._clock import (
    Clock,
    ManualClock,
    SuspendAwareClock,
    SystemClock,
)
from foxtailseam.clocks._hybrid_clock import HybridClock, HybridTimestamp
from foxtailseam.clocks._pause import PauseDetector
from foxtailseam.clocks._timers import TimerHandle, Timers

__all__ = [
    "Clock",
    "HybridClock",
    "HybridTimestamp",
    "ManualClock",
    "PauseDetector",
    "SuspendAwareClock",
    "SystemClock",
    "TimerHandle",
    "Timers",
]

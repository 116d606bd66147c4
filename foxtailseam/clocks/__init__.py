"""Clock interface and implementations, hybrid logical clock, pause detection."""

from foxtailseam.clocks._clock import (
    Clock,
    ManualClock,
    SuspendAwareClock,
    SystemClock,
)
from foxtailseam.clocks._hybrid_clock import HybridClock, HybridTimestamp
from foxtailseam.clocks._pause import PauseDetector

__all__ = [
    "Clock",
    "HybridClock",
    "HybridTimestamp",
    "ManualClock",
    "PauseDetector",
    "SuspendAwareClock",
    "SystemClock",
]

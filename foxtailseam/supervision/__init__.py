"""Keeps a process serving when a step fails in a way that nobody foresaw.

Background tasks are begun again after a backoff, periodic steps run again in the next
round, and errors in callbacks become numbered events. Only an event loop that no longer
comes round ends the process.
"""

from foxtailseam.supervision._failures import FailureLog
from foxtailseam.supervision._loop_errors import LoopErrors
from foxtailseam.supervision._periodic import PeriodicWork
from foxtailseam.supervision._processor_watch import ProcessorWatch, WatchSettings
from foxtailseam.supervision._restart import RestartSettings, restart_backoff
from foxtailseam.supervision._supervisor import Supervisor

__all__ = [
    "FailureLog",
    "LoopErrors",
    "PeriodicWork",
    "ProcessorWatch",
    "RestartSettings",
    "Supervisor",
    "WatchSettings",
    "restart_backoff",
]

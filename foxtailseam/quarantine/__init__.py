"""Detection and quarantine of requests that crash searchers, shared with peers."""

from foxtailseam.quarantine._controller import (
    QuarantineController,
    SuspicionNotice,
    fingerprint_of,
)
from foxtailseam.quarantine._transitions import SuspicionEvent, SuspicionState

__all__ = [
    "QuarantineController",
    "SuspicionEvent",
    "SuspicionNotice",
    "SuspicionState",
    "fingerprint_of",
]

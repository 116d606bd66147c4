"""Suspicion against a request, as a table of transitions."""

from enum import StrEnum


class SuspicionState(StrEnum):
    """How a request is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class SuspicionEvent(StrEnum):
    """What was learnt of a request."""

    LOSS = "loss"
    SURVIVED = "survived"
    EXPIRED = "expired"


TRANSITIONS: dict[tuple[SuspicionState, SuspicionEvent], SuspicionState] = {
    (SuspicionState.CLEAR, SuspicionEvent.LOSS): SuspicionState.SUSPECT,
    (SuspicionState.SUSPECT, SuspicionEvent.LOSS): SuspicionState.QUARANTINED,
    (SuspicionState.SUSPECT, SuspicionEvent.SURVIVED): SuspicionState.CLEAR,
    (SuspicionState.SUSPECT, SuspicionEvent.EXPIRED): SuspicionState.CLEAR,
    (SuspicionState.QUARANTINED, SuspicionEvent.EXPIRED): SuspicionState.SUSPECT,
}

"""State machine of the suspicion that a request crashes searchers."""

from enum import StrEnum


class SuspicionState(StrEnum):
    """Suspicion state of a request, which determines how it is handled.

    A suspect runs on a single shard first; a quarantined request is refused.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class SuspicionEvent(StrEnum):
    """Event that may change the suspicion state of a request."""

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

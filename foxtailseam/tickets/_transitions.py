"""State machine of a ticket."""

from enum import StrEnum


class TicketState(StrEnum):
    """State of a ticket."""

    MINTED = "minted"
    RUNNING = "running"
    ENDED = "ended"


class TicketEvent(StrEnum):
    """Event that changes the state of a ticket."""

    START = "start"
    NOT_RUN = "not-run"
    FINISH = "finish"


# RUNNING and ENDED have no transition for START, so a ticket cannot start twice.
# NOT_RUN is applied only if nothing was sent, or if the searcher reported that it
# did not run the request.
TRANSITIONS: dict[tuple[TicketState, TicketEvent], TicketState] = {
    (TicketState.MINTED, TicketEvent.START): TicketState.RUNNING,
    (TicketState.RUNNING, TicketEvent.NOT_RUN): TicketState.MINTED,
    (TicketState.RUNNING, TicketEvent.FINISH): TicketState.ENDED,
}

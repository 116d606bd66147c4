"""States of a ticket, as a table of transitions."""

from enum import StrEnum


class TicketState(StrEnum):
    """How far a ticket has come."""

    MINTED = "minted"
    RUNNING = "running"
    ENDED = "ended"


class TicketEvent(StrEnum):
    """What happens to a ticket."""

    START = "start"
    NOT_RUN = "not-run"
    FINISH = "finish"


# There is no way from RUNNING or ENDED to a second START; NOT_RUN is given
# only if nothing was sent, or the searcher said that it did not run it.
TRANSITIONS: dict[tuple[TicketState, TicketEvent], TicketState] = {
    (TicketState.MINTED, TicketEvent.START): TicketState.RUNNING,
    (TicketState.RUNNING, TicketEvent.NOT_RUN): TicketState.MINTED,
    (TicketState.RUNNING, TicketEvent.FINISH): TicketState.ENDED,
}

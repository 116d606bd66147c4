"""The tickets that one run of an entry process has minted."""

import threading
from dataclasses import dataclass, replace
from datetime import timedelta

from result import Err, Ok, Result

from foxtailseam.clocks import Clock
from foxtailseam.outcomes import Accepted, Outcome, RefusalReason, Refused, Unknown
from foxtailseam.tickets._ticket import Ticket
from foxtailseam.tickets._transitions import TRANSITIONS, TicketEvent, TicketState
from foxtailseam.utils import new_identifier

DEFAULT_LIFE = timedelta(seconds=60)
KEEP_FACTOR = 10


@dataclass(frozen=True, slots=True)
class _Record:
    family: str
    state: TicketState
    expires_at: float
    kept_until: float
    outcome: Outcome | None = None
    content: str = ""


class TicketRegistry:
    """Mints tickets in memory and lets each run at most once; thread-safe.

    Parameters
    ----------
    entry : str
        Peer address of this entry.
    incarnation : str
        This run of the process.
    clock : Clock
        Source of monotonic time.
    life : timedelta
        How long after minting a ticket may start.
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        clock: Clock,
        life: timedelta = DEFAULT_LIFE,
    ):
        self.entry = entry
        self.incarnation = incarnation
        self.clock = clock
        self.life = life
        self._lock = threading.Lock()
        self._records: dict[str, _Record] = {}

    def mint(self, family: str) -> Ticket:
        """Return a new ticket for one request of `family`."""
        secret = new_identifier()
        current = self.clock.monotonic()
        seconds = self.life.total_seconds()
        record = _Record(
            family,
            TicketState.MINTED,
            expires_at=current + seconds,
            kept_until=current + KEEP_FACTOR * seconds,
        )
        with self._lock:
            self._drop_old(current)
            self._records[secret] = record
        return Ticket(self.entry, self.incarnation, secret)

    def start(
        self, ticket: Ticket, request_id: str, family: str, content: str
    ) -> Result[None, Outcome]:
        """Begin the one run of a ticket.

        Returns
        -------
        Result[None, Outcome]
            Ok if the caller of this method must run the request now; else the
            outcome to give: that of the earlier run, a refusal, or unknown.
        """
        if ticket.incarnation != self.incarnation:
            return Err(Unknown(request_id, "the ticket is of an earlier process"))
        with self._lock:
            record = self._records.get(ticket.secret)
            if record is None:
                return Err(Unknown(request_id, "the ticket is not known any more"))
            if record.content and record.content != content:
                detail = "the ticket was used for another request"
                return Err(Unknown(request_id, detail))
            if record.family != family:
                reason = RefusalReason.TICKET_EXPIRED
                return Err(Refused(request_id, reason, None))
            return self._start_known(ticket, record, request_id, content)

    def finish(self, ticket: Ticket, outcome: Outcome) -> None:
        """End the run; a refused one gives the ticket back."""
        is_not_run = isinstance(outcome, Refused)
        event = TicketEvent.NOT_RUN if is_not_run else TicketEvent.FINISH
        with self._lock:
            record = self._records[ticket.secret]
            state = TRANSITIONS[(record.state, event)]
            self._records[ticket.secret] = replace(record, state=state, outcome=outcome)

    def _start_known(
        self, ticket: Ticket, record: _Record, request_id: str, content: str
    ) -> Result[None, Outcome]:
        state = TRANSITIONS.get((record.state, TicketEvent.START))
        if state is None:
            return Err(_earlier_outcome(record, request_id))
        if self.clock.monotonic() >= record.expires_at:
            reason = RefusalReason.TICKET_EXPIRED
            return Err(Refused(request_id, reason, None))
        self._records[ticket.secret] = replace(record, state=state, content=content)
        return Ok(None)

    def _drop_old(self, current: float) -> None:
        # Records are in order of minting, so the oldest stand first.
        for secret in list(self._records):
            if self._records[secret].kept_until > current:
                return
            del self._records[secret]


def _earlier_outcome(record: _Record, request_id: str) -> Outcome:
    match record.outcome:
        case Accepted(receipt=receipt) if record.state is TicketState.ENDED:
            return Accepted(request_id, receipt)
        case Unknown(detail=detail) if record.state is TicketState.ENDED:
            return Unknown(request_id, detail)
        case _:
            # Running now: this resend is not run, the first one may be.
            return Unknown(request_id, "the request is being run")

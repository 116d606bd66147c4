"""Registry of the tickets minted by this entry process."""

import threading
from dataclasses import dataclass, replace
from datetime import timedelta

from result import Err, Ok, Result

from foxtailseam.clocks import Clock
from foxtailseam.outcomes import Accepted, Outcome, RefusalReason, Refused, Unknown
from foxtailseam.tickets._ticket import Ticket
from foxtailseam.tickets._transitions import TRANSITIONS, TicketEvent, TicketState
from foxtailseam.utils import new_identifier

DEFAULT_LIFETIME = timedelta(seconds=60)
RETENTION_FACTOR = 10


@dataclass(frozen=True, slots=True)
class _TicketRecord:
    family: str
    state: TicketState
    expires_at: float
    retained_until: float
    outcome: Outcome | None = None
    content: str = ""


class TicketRegistry:
    """In-memory registry that mints tickets and lets each run at most once.

    Thread-safe. Tickets do not survive a restart of the process. A ticket's record
    is kept for `RETENTION_FACTOR` times its lifetime.

    Parameters
    ----------
    entry : str
        Peer address of this entry process, ``IP:PORT``.
    incarnation : str
        Identifier of this entry process; changes when it restarts.
    clock : Clock
        Source of monotonic time.
    lifetime : timedelta
        Time after minting within which a ticket can be started.
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        clock: Clock,
        lifetime: timedelta = DEFAULT_LIFETIME,
    ):
        self.entry = entry
        self.incarnation = incarnation
        self.clock = clock
        self.lifetime = lifetime
        self._lock = threading.Lock()
        self._records: dict[str, _TicketRecord] = {}

    def mint(self, family: str) -> Ticket:
        """Return a new ticket for one request.

        Parameters
        ----------
        family : str
            Name of the service family that the request must belong to.
        """
        secret = new_identifier()
        now = self.clock.monotonic()
        seconds = self.lifetime.total_seconds()
        record = _TicketRecord(
            family,
            TicketState.MINTED,
            expires_at=now + seconds,
            retained_until=now + RETENTION_FACTOR * seconds,
        )
        with self._lock:
            self._remove_old(now)
            self._records[secret] = record
        return Ticket(self.entry, self.incarnation, secret)

    def start(
        self, ticket: Ticket, request_id: str, family: str, content: str
    ) -> Result[None, Outcome]:
        """Start the single run that a ticket allows.

        Parameters
        ----------
        ticket : Ticket
            Ticket to start.
        request_id : str
            Identifier of the request, used in the outcome.
        family : str
            Name of the request's service family.
        content : str
            Content of the request; a ticket is valid for one content only.

        Returns
        -------
        Result[None, Outcome]
            Ok if the caller must run the request now. Otherwise the outcome to
            return instead: that of the previous run, a refusal, or unknown.
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
            return self._start_record(ticket, record, request_id, content)

    def finish(self, ticket: Ticket, outcome: Outcome) -> None:
        """Record the outcome of a run.

        After a refusal the request was not run, so the ticket can be started again.

        Parameters
        ----------
        ticket : Ticket
            Ticket whose run has ended.
        outcome : Outcome
            Outcome of the run, returned again to later requests.
        """
        is_not_run = isinstance(outcome, Refused)
        event = TicketEvent.NOT_RUN if is_not_run else TicketEvent.FINISH
        with self._lock:
            record = self._records[ticket.secret]
            state = TRANSITIONS[(record.state, event)]
            self._records[ticket.secret] = replace(record, state=state, outcome=outcome)

    def _start_record(
        self, ticket: Ticket, record: _TicketRecord, request_id: str, content: str
    ) -> Result[None, Outcome]:
        state = TRANSITIONS.get((record.state, TicketEvent.START))
        if state is None:
            return Err(_previous_outcome(record, request_id))
        if self.clock.monotonic() >= record.expires_at:
            reason = RefusalReason.TICKET_EXPIRED
            return Err(Refused(request_id, reason, None))
        self._records[ticket.secret] = replace(record, state=state, content=content)
        return Ok(None)

    def _remove_old(self, now: float) -> None:
        # Records are in order of creation, so the oldest come first.
        for secret in list(self._records):
            if self._records[secret].retained_until > now:
                return
            del self._records[secret]


def _previous_outcome(record: _TicketRecord, request_id: str) -> Outcome:
    match record.outcome:
        case Accepted(receipt=receipt) if record.state is TicketState.ENDED:
            return Accepted(request_id, receipt)
        case Unknown(detail=detail) if record.state is TicketState.ENDED:
            return Unknown(request_id, detail)
        case _:
            # The first request is still running; this repetition is not run.
            return Unknown(request_id, "the request is being run")

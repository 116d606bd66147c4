"""Runs a request that may not be repeated, from an entry."""

from datetime import timedelta

from foxtailseam.daemons._node import Node
from foxtailseam.daemons._routing import Router
from foxtailseam.filters import RequestContext, Submit
from foxtailseam.logs import EventCode
from foxtailseam.outcomes import Accepted, Outcome, RefusalReason, Refused, Unknown
from foxtailseam.rpc import (
    SubmitReply,
    SubmitRequest,
    SubmitStatus,
    TicketReply,
    TicketRequest,
    TicketStatus,
)
from foxtailseam.tickets import Ticket, TicketRegistry, parse_ticket

MAX_GATHERS = 3
REPLY_GRACE = timedelta(milliseconds=200)


class SubmitHandler:
    """The end of the filter chain for requests that may not be repeated.

    Parameters
    ----------
    node : Node
        The process it runs in.
    router : Router
        Picks gathers.
    book : TicketRegistry
        Tickets minted by this run of the process.
    """

    def __init__(self, node: Node, router: Router, book: TicketRegistry):
        self.node = node
        self.router = router
        self.book = book

    async def run(self, context: RequestContext) -> Outcome:
        """Run the request here, or at the entry that minted its ticket."""
        request = context.request
        ticket = parse_ticket(request.ticket)
        if ticket is None:
            reason = RefusalReason.TICKET_EXPIRED
            return Refused(request.request_id, reason, None)
        if ticket.entry != self.node.identity.address:
            return await self._forward(context, ticket)
        return await self.run_here(context, ticket)

    async def run_here(self, context: RequestContext, ticket: Ticket) -> Outcome:
        """Run the request if its ticket allows it."""
        request = context.request
        content = f"{request.key}\0{request.content}"
        started = self.book.start(ticket, request.request_id, request.family, content)
        if started.is_err():
            return started.unwrap_err()
        self._record(EventCode.TICKET_STARTED, request, ticket)
        outcome: Outcome = Unknown(request.request_id, "the run was interrupted")
        try:
            outcome = await self._send(context)
        finally:
            self.book.finish(ticket, outcome)
            name = type(outcome).__name__.lower()
            self._record(EventCode.TICKET_ENDED, request, ticket, outcome=name)
        return outcome

    async def _send(self, context: RequestContext) -> Outcome:
        request = context.request
        shard = context.snapshot.shard_for(request.key)
        excluded: frozenset[str] = frozenset()
        for _ in range(MAX_GATHERS):
            remaining = context.remaining(self.node.clock)
            gather = self.router.pick(context.snapshot, shard.name, excluded)
            if gather is None or remaining <= timedelta():
                break
            message = SubmitRequest(
                self.node.peers.envelope(),
                request.request_id,
                request.family,
                request.content,
                remaining / timedelta(milliseconds=1),
                shard,
                context.snapshot.slots,
                context.snapshot.connections,
            )
            channels = self.node.peers.channels
            outcome = await channels.submit(gather, message, remaining)
            if outcome.is_ok():
                return self._conclude(context, outcome.unwrap())
            error = outcome.unwrap_err()
            self.node.peers.handle_call_failure(error)
            if error.sent:
                return Unknown(request.request_id, "the gather did not reply")
            excluded |= {gather}
        reason = RefusalReason.NO_SEARCHER
        return Refused(request.request_id, reason, context.policy.retry_after)

    def _conclude(self, context: RequestContext, reply: SubmitReply) -> Outcome:
        request_id = context.request.request_id
        if reply.request_id != request_id:
            return Unknown(request_id, "the gather's reply was for another request")
        match reply.status:
            case SubmitStatus.RAN:
                return Accepted(request_id, reply.detail)
            case SubmitStatus.NOT_RUN:
                reason = RefusalReason(reply.detail)
                return Refused(request_id, reason, context.policy.retry_after)
            case SubmitStatus.UNKNOWN:
                return Unknown(request_id, f"the searcher's answer: {reply.detail}")

    async def _forward(self, context: RequestContext, ticket: Ticket) -> Outcome:
        request = context.request
        message = TicketRequest(
            self.node.peers.envelope(),
            request.request_id,
            request.ticket,
            request.family,
            request.key,
            request.content,
        )
        timeout = context.remaining(self.node.clock) + REPLY_GRACE
        channels = self.node.peers.channels
        outcome = await channels.run_ticket(ticket.entry, message, timeout)
        if outcome.is_err():
            detail = "the entry that gave out the ticket does not reply"
            return Unknown(request.request_id, detail)
        return _outcome_of(request.request_id, outcome.unwrap())

    def _record(
        self, code: EventCode, request: Submit, ticket: Ticket, **fields: object
    ) -> None:
        self.node.recorder.record(
            code, request.request_id, ticket=ticket.secret, **fields
        )


def _outcome_of(request_id: str, reply: TicketReply) -> Outcome:
    match reply.status:
        case TicketStatus.ACCEPTED:
            return Accepted(request_id, reply.detail)
        case TicketStatus.REFUSED:
            milliseconds = reply.retry_after_ms
            retry_after = (
                None if milliseconds is None else timedelta(milliseconds=milliseconds)
            )
            return Refused(request_id, RefusalReason(reply.detail), retry_after)
        case TicketStatus.UNKNOWN:
            return Unknown(request_id, reply.detail)


def reply_fields(outcome: Outcome) -> tuple[TicketStatus, str, int | None]:
    """Return status, detail and milliseconds to wait, for a `TicketReply`."""
    match outcome:
        case Accepted(receipt=receipt):
            return TicketStatus.ACCEPTED, receipt, None
        case Refused(reason=reason, retry_after=None):
            return TicketStatus.REFUSED, reason, None
        case Refused(reason=reason, retry_after=retry_after):
            milliseconds = retry_after // timedelta(milliseconds=1)
            return TicketStatus.REFUSED, reason, milliseconds
        case Unknown(detail=detail):
            return TicketStatus.UNKNOWN, detail, None
        case _:
            return TicketStatus.UNKNOWN, "unexpected outcome", None

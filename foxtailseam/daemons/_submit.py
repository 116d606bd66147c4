"""Runs a non-repeatable request, or forwards it to the entry of its ticket."""

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

MAX_GATHER_ATTEMPTS = 3
FORWARD_TIMEOUT_MARGIN = timedelta(milliseconds=200)


class SubmitHandler:
    """Handler of non-repeatable requests, called after the last filter.

    Parameters
    ----------
    node : Node
        Components of the process.
    router : Router
        Assigns shards to gathers.
    ticket_registry : TicketRegistry
        Registry of the tickets that this process has minted.
    """

    def __init__(self, node: Node, router: Router, ticket_registry: TicketRegistry):
        self.node = node
        self.router = router
        self.ticket_registry = ticket_registry

    async def run(self, context: RequestContext) -> Outcome:
        """Run the request here or forward it to the entry that minted its ticket."""
        request = context.request
        ticket = parse_ticket(request.ticket)
        if ticket is None:
            reason = RefusalReason.TICKET_EXPIRED
            return Refused(request.request_id, reason, None)
        if ticket.entry != self.node.identity.address:
            return await self._forward(context, ticket)
        return await self.run_locally(context, ticket)

    async def run_locally(self, context: RequestContext, ticket: Ticket) -> Outcome:
        """Run the request if its ticket, which this entry minted, is valid and unused.

        Otherwise return a refusal, the outcome of the earlier run, or unknown.
        """
        request = context.request
        content = f"{request.key}\0{request.content}"
        start_result = self.ticket_registry.start(
            ticket, request.request_id, request.family, content
        )
        if start_result.is_err():
            return start_result.unwrap_err()
        self._record_event(EventCode.TICKET_STARTED, request, ticket)
        outcome: Outcome = Unknown(request.request_id, "the run was interrupted")
        try:
            outcome = await self._send(context)
        finally:
            self.ticket_registry.finish(ticket, outcome)
            name = type(outcome).__name__.lower()
            self._record_event(EventCode.TICKET_ENDED, request, ticket, outcome=name)
        return outcome

    async def _send(self, context: RequestContext) -> Outcome:
        request = context.request
        shard = context.snapshot.shard_for(request.key)
        excluded: frozenset[str] = frozenset()
        for _ in range(MAX_GATHER_ATTEMPTS):
            remaining = context.remaining(self.node.clock)
            gather = self.router.pick_gather(context.snapshot, shard.name, excluded)
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
            result = await channels.submit(gather, message, remaining)
            if result.is_ok():
                return self._build_outcome(context, result.unwrap())
            error = result.unwrap_err()
            self.node.peers.handle_call_failure(error)
            if error.sent:
                return Unknown(request.request_id, "the gather did not reply")
            excluded |= {gather}
        reason = RefusalReason.NO_SEARCHER
        return Refused(request.request_id, reason, context.policy.retry_after)

    def _build_outcome(self, context: RequestContext, reply: SubmitReply) -> Outcome:
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
        timeout = context.remaining(self.node.clock) + FORWARD_TIMEOUT_MARGIN
        channels = self.node.peers.channels
        result = await channels.run_ticket(ticket.entry, message, timeout)
        if result.is_err():
            detail = "the entry that gave out the ticket does not reply"
            return Unknown(request.request_id, detail)
        return _outcome_from_reply(request.request_id, result.unwrap())

    def _record_event(
        self, code: EventCode, request: Submit, ticket: Ticket, **fields: object
    ) -> None:
        self.node.recorder.record(
            code, request.request_id, ticket=ticket.secret, **fields
        )


def _outcome_from_reply(request_id: str, reply: TicketReply) -> Outcome:
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


def ticket_reply_fields(outcome: Outcome) -> tuple[TicketStatus, str, int | None]:
    """Return the fields of a `TicketReply` for an outcome.

    Returns
    -------
    status : TicketStatus
        Kind of outcome.
    detail : str
        Receipt, reason of the refusal, or why the outcome is unknown.
    retry_after_ms : int or None
        Milliseconds until the request may be sent again; None if not applicable.
    """
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

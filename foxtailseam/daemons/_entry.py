"""Entry process: receives callers' requests and returns their outcomes."""

from dataclasses import replace
from datetime import timedelta

from foxtailseam.admission import AdmissionController
from foxtailseam.daemons._callers import CallerServer
from foxtailseam.daemons._node import Node
from foxtailseam.daemons._routing import Router
from foxtailseam.daemons._search import SearchHandler
from foxtailseam.daemons._shutdown import InFlightCounter
from foxtailseam.daemons._submit import SubmitHandler, ticket_reply_fields
from foxtailseam.filters import (
    AdmissionFilter,
    CallerRequest,
    FilterChain,
    PolicyFilter,
    QuarantineFilter,
    ReadinessFilter,
    RequestContext,
    Search,
    Submit,
)
from foxtailseam.logs import EventCode
from foxtailseam.outcomes import Outcome, RefusalReason, Refused, Unknown
from foxtailseam.quarantine import fingerprint_of
from foxtailseam.rpc import EntryService, TicketReply, TicketRequest
from foxtailseam.tickets import Ticket, TicketRegistry, parse_ticket


class Entry:
    """Entry process, which runs callers' requests through the filter chain.

    Parameters
    ----------
    node : Node
        Components of the process.
    """

    def __init__(self, node: Node):
        self.node = node
        settings = node.settings.entry
        identity = node.identity
        self._ticket_registry = TicketRegistry(
            identity.address, identity.incarnation, node.clock, settings.ticket_life
        )
        self._admission_controller = AdmissionController(
            node.clock, settings.queue_share
        )
        router = Router(node)
        self._search_handler = SearchHandler(node, router)
        self._submit_handler = SubmitHandler(node, router, self._ticket_registry)
        readiness = ReadinessFilter(
            lambda: node.published.is_complete,
            node.wait_until_fresh,
            self._rebuild_context,
            node.clock,
        )
        quarantine = QuarantineFilter(
            node.quarantine, node.recorder, node.peers.exchange_now
        )
        admission = AdmissionFilter(self._admission_controller)
        self._filter_chain = FilterChain(
            (readiness, PolicyFilter(), quarantine, admission), self._dispatch
        )
        self._in_flight_counter = InFlightCounter()
        self._caller_server = CallerServer(node, self)

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight, forwarded tickets included."""
        return max(self._in_flight_counter.count, self._caller_server.in_flight)

    @property
    def services(self) -> list:
        """Return the gRPC services offered to other processes of the fleet."""
        return [EntryService(self, self.node.peers.handle_envelope)]

    async def start(self) -> None:
        """Start accepting callers' connections."""
        await self._caller_server.start()

    def drain(self) -> None:
        """Close each caller's connection after its next answer."""
        self._caller_server.drain()

    async def stop(self) -> None:
        """Cancel running requests and close callers' connections."""
        await self._caller_server.stop()

    def mint(self, family: str) -> Ticket | None:
        """Return a new ticket for one non-repeatable request.

        Parameters
        ----------
        family : str
            Service family of the request.

        Returns
        -------
        Ticket or None
            None if the family is unknown, its requests are repeatable, or the
            process does not accept new work.
        """
        policy = self.node.published.rules.rules.policy(family)
        family_exists = self.node.published.snapshots.value.find(family) is not None
        if policy.repeatable or not family_exists or not self.node.is_ready:
            return None
        ticket = self._ticket_registry.mint(family)
        self.node.recorder.record(EventCode.TICKET_MINTED, ticket=ticket.secret)
        return ticket

    async def serve(self, request: CallerRequest) -> Outcome:
        """Run a caller's request through the filter chain; return its outcome."""
        with self._in_flight_counter:
            return await self._serve(request)

    async def run_ticket(self, request: TicketRequest) -> TicketReply:
        """Run a request that was forwarded here because of its ticket.

        The outcome is unknown if the ticket was not minted by this entry.
        """
        submit = Submit(
            request.request_id,
            request.family,
            request.ticket,
            request.key,
            request.body,
        )
        ticket = parse_ticket(request.ticket)
        if ticket is None or ticket.entry != self.node.identity.address:
            # Not forwarded a second time, which rules out forwarding loops.
            detail = "the ticket is not of this entry"
            outcome: Outcome = Unknown(request.request_id, detail)
        else:
            outcome = await self.serve(submit)
        status, detail, retry_after_ms = ticket_reply_fields(outcome)
        envelope = self.node.peers.envelope()
        return TicketReply(envelope, status, detail, retry_after_ms)

    async def _serve(self, request: CallerRequest) -> Outcome:
        started_at = self.node.clock.monotonic()
        context = self._build_context(request, started_at)
        self.node.recorder.record(
            EventCode.REQUEST_ARRIVED, request.request_id, family=request.family
        )
        outcome = await self._filter_chain.run(context)
        outcome_name = type(outcome).__name__.lower()
        duration = timedelta(seconds=self.node.clock.monotonic() - started_at)
        self.node.metrics.add(f"requests_{outcome_name}")
        self.node.metrics.observe("request_latency", duration)
        self.node.recorder.record(
            EventCode.REQUEST_ANSWERED,
            request.request_id,
            outcome=outcome_name,
            reason=outcome.reason if isinstance(outcome, Refused) else "",
            ms=round(duration / timedelta(milliseconds=1), 1),
        )
        return outcome

    def _build_context(
        self, request: CallerRequest, started_at: float
    ) -> RequestContext:
        published = self.node.published
        policy = published.rules.rules.policy(request.family)
        deadline = policy.deadline
        match request:
            case Search(query=content, deadline=timedelta() as requested_deadline):
                deadline = min(deadline, requested_deadline)
            case Search(query=content) | Submit(content=content):
                pass
        return RequestContext(
            request,
            policy,
            published.snapshots.value.find(request.family),
            started_at + deadline.total_seconds(),
            fingerprint_of(request.family, content),
        )

    def _rebuild_context(self, context: RequestContext) -> RequestContext:
        """Return the context with the rules and the snapshot now in force."""
        published = self.node.published
        family = context.request.family
        return replace(
            context,
            policy=published.rules.rules.policy(family),
            snapshot=published.snapshots.value.find(family),
        )

    async def _dispatch(self, context: RequestContext) -> Outcome:
        if context.remaining(self.node.clock) <= timedelta():
            reason = RefusalReason.DEADLINE
            request_id = context.request.request_id
            return Refused(request_id, reason, context.policy.retry_after)
        match context.request:
            case Search():
                return await self._search_handler.run(context)
            case Submit():
                return await self._submit_handler.run(context)

"""The entry process: serves callers."""

from dataclasses import replace
from datetime import timedelta

from foxtailseam.admission import AdmissionController
from foxtailseam.daemons._callers import CallerServer
from foxtailseam.daemons._node import Node
from foxtailseam.daemons._routing import Router
from foxtailseam.daemons._search import SearchHandler
from foxtailseam.daemons._shutdown import WorkCounter
from foxtailseam.daemons._submit import SubmitHandler, reply_fields
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
    """Runs callers' requests through the filter chain.

    Parameters
    ----------
    node : Node
        The process it runs in.
    """

    def __init__(self, node: Node):
        self.node = node
        settings = node.settings.entry
        identity = node.identity
        self._book = TicketRegistry(
            identity.address, identity.incarnation, node.clock, settings.ticket_life
        )
        self._admission = AdmissionController(node.clock, settings.queue_share)
        router = Router(node)
        self._searches = SearchHandler(node, router)
        self._submits = SubmitHandler(node, router, self._book)
        readiness = ReadinessFilter(
            lambda: node.published.is_complete,
            node.wait_until_fresh,
            self._plan_again,
            node.clock,
        )
        quarantine = QuarantineFilter(
            node.quarantine, node.recorder, node.peers.exchange_now
        )
        admission = AdmissionFilter(self._admission)
        self._chain = FilterChain(
            (readiness, PolicyFilter(), quarantine, admission), self._dispatch
        )
        self._work = WorkCounter()
        self._callers = CallerServer(node, self)

    @property
    def in_flight(self) -> int:
        """Return how many callers' requests are being served."""
        return max(self._work.count, self._callers.in_flight)

    @property
    def services(self) -> list:
        """Return what is served to the system's other processes."""
        return [EntryService(self, self.node.peers.heard)]

    async def start(self) -> None:
        """Begin to serve callers."""
        await self._callers.start()

    def drain(self) -> None:
        """End each caller's connection with its next answer."""
        self._callers.drain()

    async def stop(self) -> None:
        """Stop serving callers."""
        await self._callers.stop()

    def mint(self, family: str) -> Ticket | None:
        """Return a new ticket, or None if the family takes none."""
        policy = self.node.published.rules.rules.policy(family)
        is_known = self.node.published.snapshots.value.find(family) is not None
        if policy.repeatable or not is_known or not self.node.is_ready:
            return None
        ticket = self._book.mint(family)
        self.node.recorder.record(EventCode.TICKET_MINTED, ticket=ticket.secret)
        return ticket

    async def serve(self, request: CallerRequest) -> Outcome:
        """Return the outcome of a caller's request."""
        with self._work:
            return await self._serve(request)

    async def run_ticket(self, request: TicketRequest) -> TicketReply:
        """Run a forwarded request whose ticket was minted here."""
        submit = Submit(
            request.request_id,
            request.family,
            request.ticket,
            request.key,
            request.body,
        )
        ticket = parse_ticket(request.ticket)
        if ticket is None or ticket.entry != self.node.identity.address:
            # Never forwarded a second time, so that no loop can arise.
            detail = "the ticket is not of this entry"
            outcome: Outcome = Unknown(request.request_id, detail)
        else:
            outcome = await self.serve(submit)
        status, detail, retry_after_ms = reply_fields(outcome)
        envelope = self.node.peers.envelope()
        return TicketReply(envelope, status, detail, retry_after_ms)

    async def _serve(self, request: CallerRequest) -> Outcome:
        started = self.node.clock.monotonic()
        context = self._plan(request, started)
        self.node.recorder.record(
            EventCode.REQUEST_ARRIVED, request.request_id, family=request.family
        )
        outcome = await self._chain.run(context)
        name = type(outcome).__name__.lower()
        duration = timedelta(seconds=self.node.clock.monotonic() - started)
        self.node.metrics.add(f"requests_{name}")
        self.node.metrics.observe("request_latency", duration)
        self.node.recorder.record(
            EventCode.REQUEST_ANSWERED,
            request.request_id,
            outcome=name,
            reason=outcome.reason if isinstance(outcome, Refused) else "",
            ms=round(duration / timedelta(milliseconds=1), 1),
        )
        return outcome

    def _plan(self, request: CallerRequest, started: float) -> RequestContext:
        published = self.node.published
        policy = published.rules.rules.policy(request.family)
        deadline = policy.deadline
        match request:
            case Search(query=content, deadline=timedelta() as wanted):
                deadline = min(deadline, wanted)
            case Search(query=content) | Submit(content=content):
                pass
        return RequestContext(
            request,
            policy,
            published.snapshots.value.find(request.family),
            started + deadline.total_seconds(),
            fingerprint_of(request.family, content),
        )

    def _plan_again(self, context: RequestContext) -> RequestContext:
        """Return the context by the rules and snapshot in force now."""
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
                return await self._searches.run(context)
            case Submit():
                return await self._submits.run(context)

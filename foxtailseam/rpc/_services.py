"""The services of the processes, as grpclib handlers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from foxtailseam.rpc._messages import (
    Envelope,
    ExchangeReply,
    ExchangeRequest,
    PullReply,
    PullRequest,
    SearchReply,
    SearchRequest,
    SubmitReply,
    SubmitRequest,
    TicketReply,
    TicketRequest,
)


@dataclass(frozen=True)
class Method:
    """One remote method with its message types."""

    path: str
    request: type
    reply: type


EXCHANGE = Method("/foxtailseam.Peer/Exchange", ExchangeRequest, ExchangeReply)
PULL = Method("/foxtailseam.Peer/Pull", PullRequest, PullReply)
SEARCH = Method("/foxtailseam.Gather/Search", SearchRequest, SearchReply)
SUBMIT = Method("/foxtailseam.Gather/Submit", SubmitRequest, SubmitReply)
RUN_TICKET = Method("/foxtailseam.Entry/RunTicket", TicketRequest, TicketReply)

HeardFrom = Callable[[Envelope], None]


def _unary(method: Method, heard: HeardFrom, run: Callable[[Any], Awaitable[Any]]):
    async def handle(stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        heard(request.envelope)
        await stream.send_message(await run(request))

    return Handler(handle, Cardinality.UNARY_UNARY, method.request, method.reply)


class PeerCalls(Protocol):
    """What every process answers to its peers."""

    def heard(self, envelope: Envelope) -> None:
        """Take note of the sender's state."""

    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Merge the sender's soft state and return the own one."""

    async def pull(self, request: PullRequest) -> PullReply:
        """Return what the sender lacks."""


class PeerService:
    """Serves `PeerCalls`."""

    def __init__(self, calls: PeerCalls):
        self.calls = calls

    def __mapping__(self) -> dict[str, Handler]:
        heard = self.calls.heard
        return {
            EXCHANGE.path: _unary(EXCHANGE, heard, self.calls.exchange),
            PULL.path: _unary(PULL, heard, self.calls.pull),
        }


class GatherCalls(Protocol):
    """What a gather answers to entries."""

    async def search(self, request: SearchRequest) -> SearchReply:
        """Run the sub-requests of one query."""

    async def submit(self, request: SubmitRequest) -> SubmitReply:
        """Run one request that may not be repeated, at most once."""


class GatherService:
    """Serves `GatherCalls`."""

    def __init__(self, calls: GatherCalls, heard: HeardFrom):
        self.calls = calls
        self.heard = heard

    def __mapping__(self) -> dict[str, Handler]:
        return {
            SEARCH.path: _unary(SEARCH, self.heard, self.calls.search),
            SUBMIT.path: _unary(SUBMIT, self.heard, self.calls.submit),
        }


class EntryCalls(Protocol):
    """What an entry answers to other entries."""

    async def run_ticket(self, request: TicketRequest) -> TicketReply:
        """Run a request whose ticket was minted here."""


class EntryService:
    """Serves `EntryCalls`."""

    def __init__(self, calls: EntryCalls, heard: HeardFrom):
        self.calls = calls
        self.heard = heard

    def __mapping__(self) -> dict[str, Handler]:
        return {RUN_TICKET.path: _unary(RUN_TICKET, self.heard, self.calls.run_ticket)}

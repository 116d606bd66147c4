"""gRPC services of gathers, entries and all processes, for grpclib servers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from foxtailseam.codecs import limit_messages
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
    """Remote procedure with the types of its messages.

    Parameters
    ----------
    path : str
        gRPC path, as in ``/package.Service/Method``.
    request, reply : type
        Data classes of the request and the reply.
    """

    path: str
    request: type
    reply: type


EXCHANGE = Method("/foxtailseam.Peer/Exchange", ExchangeRequest, ExchangeReply)
PULL = Method("/foxtailseam.Peer/Pull", PullRequest, PullReply)
SEARCH = Method("/foxtailseam.Gather/Search", SearchRequest, SearchReply)
SUBMIT = Method("/foxtailseam.Gather/Submit", SubmitRequest, SubmitReply)
RUN_TICKET = Method("/foxtailseam.Entry/RunTicket", TicketRequest, TicketReply)

EnvelopeHandler = Callable[[Envelope], None]


def _unary_handler(
    method: Method,
    on_envelope: EnvelopeHandler,
    implementation: Callable[[Any], Awaitable[Any]],
):
    async def handle(stream: Stream) -> None:
        limit_messages(stream)
        request = await stream.recv_message()
        if request is None:
            return
        on_envelope(request.envelope)
        await stream.send_message(await implementation(request))

    return Handler(handle, Cardinality.UNARY_UNARY, method.request, method.reply)


class PeerHandlers(Protocol):
    """Interface of the calls that every process handles for its peers."""

    def handle_envelope(self, envelope: Envelope) -> None:
        """Process the sender's state, which every message includes."""

    async def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Merge the sender's soft state and return the state of this process."""

    async def pull(self, request: PullRequest) -> PullReply:
        """Return the published values that are newer than the sender's."""


class PeerService:
    """gRPC service for peers.

    Parameters
    ----------
    handlers : PeerHandlers
        Implementation of the calls.
    """

    def __init__(self, handlers: PeerHandlers):
        self.handlers = handlers

    def __mapping__(self) -> dict[str, Handler]:
        on_envelope = self.handlers.handle_envelope
        return {
            EXCHANGE.path: _unary_handler(
                EXCHANGE, on_envelope, self.handlers.exchange
            ),
            PULL.path: _unary_handler(PULL, on_envelope, self.handlers.pull),
        }


class GatherHandlers(Protocol):
    """Interface of the calls that a gather handles for entries."""

    async def search(self, request: SearchRequest) -> SearchReply:
        """Run the sub-requests of one query."""

    async def submit(self, request: SubmitRequest) -> SubmitReply:
        """Run a non-repeatable request at most once."""


class GatherService:
    """gRPC service of a gather.

    Parameters
    ----------
    handlers : GatherHandlers
        Implementation of the calls.
    on_envelope : callable
        Called with the envelope of each request.
    """

    def __init__(self, handlers: GatherHandlers, on_envelope: EnvelopeHandler):
        self.handlers = handlers
        self.on_envelope = on_envelope

    def __mapping__(self) -> dict[str, Handler]:
        return {
            SEARCH.path: _unary_handler(SEARCH, self.on_envelope, self.handlers.search),
            SUBMIT.path: _unary_handler(SUBMIT, self.on_envelope, self.handlers.submit),
        }


class EntryHandlers(Protocol):
    """Interface of the calls that an entry handles for other entries."""

    async def run_ticket(self, request: TicketRequest) -> TicketReply:
        """Run a request whose ticket this entry minted."""


class EntryService:
    """gRPC service of an entry.

    Parameters
    ----------
    handlers : EntryHandlers
        Implementation of the calls.
    on_envelope : callable
        Called with the envelope of each request.
    """

    def __init__(self, handlers: EntryHandlers, on_envelope: EnvelopeHandler):
        self.handlers = handlers
        self.on_envelope = on_envelope

    def __mapping__(self) -> dict[str, Handler]:
        return {
            RUN_TICKET.path: _unary_handler(
                RUN_TICKET, self.on_envelope, self.handlers.run_ticket
            )
        }

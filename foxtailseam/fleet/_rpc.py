"""RPC client and server for calls between hosts, over grpclib."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from dataclasses import replace
from enum import StrEnum
from typing import Any, Protocol

import msgspec
from grpclib.client import (
    Channel,
    StreamUnaryMethod,
    UnaryStreamMethod,
    UnaryUnaryMethod,
)
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from foxtailseam.clocks import Clock, SystemClock
from foxtailseam.codecs import (
    MAX_MESSAGE_BYTES,
    MessagePackCodec,
    NoSpaceError,
    call_unary,
    limit_messages,
    receive_response,
)
from foxtailseam.delegation import DelegatedCall, DelegationMessage
from foxtailseam.fleet._messages import (
    FollowRequest,
    FollowUpdate,
    MemberExchange,
    decompress_changes,
    decompress_records,
)
from foxtailseam.fleet._peer_server import PeerServer
from foxtailseam.fleet._settings import PeerLimits
from foxtailseam.forwarding import ForwardedRequest, ForwardedResponse
from foxtailseam.http import BufferSpace
from foxtailseam.launch import BACKLOG, MAX_ACCEPTED, open_listener

# Space for long messages of other hosts while they arrive: one of the longest.
RECEIVED_BYTES = MAX_MESSAGE_BYTES
# Space for responses to forwarded requests until the other hosts have taken them.
UNSENT_BYTES = MAX_MESSAGE_BYTES
# Time in seconds from the start of a call to the end of its first message, which the
# other host sends at once.
FIRST_MESSAGE_SECONDS = 10.0
# Bytes that a connection may send beyond what its calls have read: grpclib keeps them.
# The least that HTTP/2 allows.
WINDOW_BYTES = 65_535

_ENCODER = msgspec.msgpack.Encoder()
EXCHANGE_PATH = "/foxtailseam.Fleet/Exchange"
FOLLOW_PATH = "/foxtailseam.Fleet/Follow"
FORWARD_PATH = "/foxtailseam.Fleet/Forward"
DELEGATE_PATH = "/foxtailseam.Fleet/Delegate"
# grpclib's server leaves this header out of its response to an unknown method, and its
# client reports only that.
_NO_HANDLER_MESSAGE = "Missing content-type header"


class CallError(Exception):
    """A call failed: the other host is unreachable, too slow or misbehaving.

    Parameters
    ----------
    cause : Exception
        What the connection, the RPC library or the decoder raised.
    """

    def __init__(self, cause: Exception):
        super().__init__(str(cause))
        self.cause = cause

    @property
    def reason(self) -> str:
        """Return the type of the cause."""
        return type(self.cause).__name__

    @property
    def is_unimplemented(self) -> bool:
        """Return whether the other host lacks a handler for it; nothing ran then."""
        match self.cause:
            case GRPCError(status=Status.UNIMPLEMENTED):
                return True
            case GRPCError(status=Status.UNKNOWN, message=message):
                return message == _NO_HANDLER_MESSAGE
            case _:
                return False

    @property
    def breaks_connection(self) -> bool:
        """Return whether it ends the other calls on its connection, too."""
        return not isinstance(self.cause, (GRPCError, msgspec.MsgspecError))


@contextlib.contextmanager
def _calling() -> Iterator[None]:
    """Raise each error as a `CallError`, since only the other host's can occur."""
    try:
        yield
    except Exception as error:
        raise CallError(error) from error


def _decompressed(update: FollowUpdate) -> FollowUpdate:
    if not update.compressed_changes:
        return update
    changes = decompress_changes(update.compressed_changes)
    return replace(update, changes=changes, compressed_changes=b"")


def _expanded(message: MemberExchange) -> MemberExchange:
    if not message.view:
        return message
    records = message.records + decompress_records(message.view)
    return replace(message, records=records, view=b"")


class FleetServicer(Protocol):
    """Server side of the calls between hosts."""

    def exchange(self, message: MemberExchange) -> MemberExchange:
        """Merge the message of the caller; return this host's own message."""

    def follow(self, request: FollowRequest) -> AsyncIterator[FollowUpdate]:
        """Yield updates until the caller ends the stream."""

    async def forward(self, request: ForwardedRequest) -> ForwardedResponse:
        """Serve a request that another host has forwarded."""

    def delegate(
        self, request: ForwardedRequest, done: Callable[[ForwardedResponse], None]
    ) -> DelegatedCall:
        """Serve a query that another host has delegated; call `done` at its end."""

    def refuse(self, problem: str) -> None:
        """Handle that a message was malformed; its call has ended."""


class MessageKind(StrEnum):
    """Kind of message in the metrics on bytes sent to other hosts."""

    EXCHANGE = "exchange"
    CHANGES = "changes"
    HEARTBEAT = "heartbeat"
    FORWARD = "forward"


# Called with the kind of a message, the failure domain of its receiver and its bytes.
SentCallback = Callable[[MessageKind, str, int], None]


class _Handlers:
    def __init__(self, servicer: FleetServicer, on_sent: SentCallback):
        self.servicer = servicer
        self.on_sent = on_sent
        self._received = BufferSpace(RECEIVED_BYTES)
        self._unsent = BufferSpace(UNSENT_BYTES)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            EXCHANGE_PATH: Handler(
                self._exchange, Cardinality.UNARY_UNARY, MemberExchange, MemberExchange
            ),
            FOLLOW_PATH: Handler(
                self._follow, Cardinality.UNARY_STREAM, FollowRequest, FollowUpdate
            ),
            FORWARD_PATH: Handler(
                self._forward,
                Cardinality.UNARY_UNARY,
                ForwardedRequest,
                ForwardedResponse,
            ),
            DELEGATE_PATH: Handler(
                self._delegate,
                Cardinality.STREAM_UNARY,
                DelegationMessage,
                ForwardedResponse,
            ),
        }

    @contextlib.contextmanager
    def _refusing(self) -> Iterator[None]:
        """End the call if its message is malformed, too slow or has no space."""
        try:
            yield
        except (NoSpaceError, TimeoutError) as error:
            self.servicer.refuse(str(error) or "message that did not arrive in time")
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "no space") from error
        except msgspec.MsgspecError as error:
            self.servicer.refuse(str(error))
            raise GRPCError(Status.INVALID_ARGUMENT, "malformed message") from error

    async def _receive(self, stream: Stream) -> Any:
        limit_messages(stream, self._received)
        with self._refusing():
            async with asyncio.timeout(FIRST_MESSAGE_SECONDS):
                return await stream.recv_message()

    async def _exchange(self, stream: Stream) -> None:
        message = await self._receive(stream)
        if message is not None:
            with self._refusing():
                message = _expanded(message)
            response = _ENCODER.encode(self.servicer.exchange(message))
            domain = message.records[0].failure_domain if message.records else ""
            self.on_sent(MessageKind.EXCHANGE, domain, len(response))
            await stream.send_message(response)

    async def _forward(self, stream: Stream) -> None:
        request = await self._receive(stream)
        if request is not None:
            response = _ENCODER.encode(await self.servicer.forward(request))
            self.on_sent(MessageKind.FORWARD, request.failure_domain, len(response))
            await self._send_within_space(stream, response)

    async def _delegate(self, stream: Stream) -> None:
        """Serve a delegated query; the initial metadata say that it has arrived."""
        message = await self._receive(stream)
        if message is None or message.request is None:
            return
        request = message.request
        result: asyncio.Future[ForwardedResponse] = asyncio.Future()

        def finish(response: ForwardedResponse) -> None:
            if not result.done():
                result.set_result(response)

        call = self.servicer.delegate(request, finish)
        next_message = asyncio.create_task(self._receive_attempts(stream, call))
        try:
            await stream.send_initial_metadata()
            response = _ENCODER.encode(await result)
        finally:
            next_message.cancel()
            # The cancellation of this handler has cancelled the future, too.
            if result.cancelled() or not result.done():
                call.cancel()
        self.on_sent(MessageKind.FORWARD, request.failure_domain, len(response))
        await self._send_within_space(stream, response)

    async def _receive_attempts(self, stream: Stream, call: DelegatedCall) -> None:
        # A stream that ends, or a malformed message, leaves the attempts as they are.
        with contextlib.suppress(StreamTerminatedError, GRPCError), self._refusing():
            message = await stream.recv_message()
            if message is not None:
                call.allow_attempts(message.attempts)

    async def _send_within_space(self, stream: Stream, response: bytes) -> None:
        """Send a response, or end its call if others take the space.

        The other host then counts the request as one that may have run.
        """
        if not self._unsent.reserve(len(response)):
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "no space for the response")
        try:
            await stream.send_message(response)
        finally:
            self._unsent.reserve(-len(response))

    async def _follow(self, stream: Stream) -> None:
        request = await self._receive(stream)
        if request is None:
            return
        domain = request.sender.failure_domain
        async for update in self.servicer.follow(request):
            message = _ENCODER.encode(update)
            has_changes = bool(update.changes or update.compressed_changes)
            kind = MessageKind.CHANGES if has_changes else MessageKind.HEARTBEAT
            self.on_sent(kind, domain, len(message))
            await stream.send_message(message)


async def serve(
    address: str,
    servicer: FleetServicer,
    on_sent: SentCallback,
    limits: PeerLimits | None = None,
    clock: Clock | None = None,
    on_closed: Callable[[], None] = lambda: None,
) -> Callable[[], Awaitable[None]]:
    """Start a server for other hosts.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    servicer : FleetServicer
        Handles the calls.
    on_sent : callable
        Called with the kind, the receiver's failure domain and the bytes of each
        message that is sent.
    limits : PeerLimits or None
        Limits of the connections; None for the defaults.
    clock : Clock or None
        Clock that provides monotonic time in seconds; None for that of the system.
    on_closed : callable
        Called when a connection is closed because of a limit.

    Returns
    -------
    callable
        Coroutine function that closes the server.

    Raises
    ------
    ListenError
        If the address cannot be listened on.
    """
    server = PeerServer(
        [_Handlers(servicer, on_sent)],
        codec=MessagePackCodec(),
        config=Configuration(
            http2_connection_window_size=WINDOW_BYTES,
            http2_stream_window_size=WINDOW_BYTES,
        ),
        limits=limits or PeerLimits(),
        clock=clock or SystemClock(),
        on_closed=on_closed,
    )
    sock = open_listener(address)
    await server.start(sock=sock, backlog=MAX_ACCEPTED)
    # asyncio accepts as many connections in an iteration as it lets the kernel queue.
    if sock.fileno() >= 0:
        # An event loop in virtual time has closed it and uses only its address.
        sock.listen(BACKLOG)

    async def stop() -> None:
        server.close()

    return stop


class FleetChannel:
    """Client of the calls to another host; connects on the first call.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the host.
    connect_timeout : float
        Timeout for opening the connection, in seconds.
    """

    def __init__(self, address: str, connect_timeout: float):
        self.address = address
        self.connect_timeout = connect_timeout
        host, _, port = address.rpartition(":")
        self._channel = Channel(host, int(port), codec=MessagePackCodec())

    async def exchange(self, message: MemberExchange, timeout: float) -> MemberExchange:
        """Send a gossip message and return the response.

        Parameters
        ----------
        message : MemberExchange
            Message to send.
        timeout : float
            Timeout of the call in seconds, without opening the connection.

        Raises
        ------
        CallError
            If the call fails.
        """
        method = UnaryUnaryMethod(
            self._channel, EXCHANGE_PATH, MemberExchange, MemberExchange
        )
        with _calling():
            await self._connect()
            async with asyncio.timeout(timeout):
                response = await call_unary(method, message)
            return _expanded(response)

    async def connect(self) -> None:
        """Open the connection unless it is open.

        Raises
        ------
        CallError
            If the call fails.
        """
        with _calling():
            await self._connect()

    async def forward(self, request: ForwardedRequest) -> ForwardedResponse:
        """Ask the other host to serve a request and return the response.

        Cancelling this cancels the request at the other host.

        Parameters
        ----------
        request : ForwardedRequest
            Request to serve.

        Raises
        ------
        CallError
            If the call fails.
        """
        method = UnaryUnaryMethod(
            self._channel, FORWARD_PATH, ForwardedRequest, ForwardedResponse
        )
        with _calling():
            return await call_unary(method, request)

    async def delegate(
        self,
        request: ForwardedRequest,
        attempts: int,
        on_accepted: Callable[[], None],
    ) -> ForwardedResponse:
        """Ask the other host to serve a query and return the response.

        Cancelling this cancels the query at the other host.

        Parameters
        ----------
        request : ForwardedRequest
            Query to serve, with the attempts that are allowed at first.
        attempts : int
            Attempts that are allowed once the other host has the query.
        on_accepted : callable
            Called once the other host has the query.

        Raises
        ------
        CallError
            If the call fails.
        """
        method = StreamUnaryMethod(
            self._channel, DELEGATE_PATH, DelegationMessage, ForwardedResponse
        )
        with _calling():
            async with method.open() as stream:
                await stream.send_message(DelegationMessage(request))
                limit_messages(stream)
                await stream.recv_initial_metadata()
                on_accepted()
                await stream.send_message(
                    DelegationMessage(attempts=attempts), end=True
                )
                return await receive_response(stream)

    async def follow(
        self, request: FollowRequest, update_timeout: float
    ) -> AsyncIterator[FollowUpdate]:
        """Yield the updates that the other host streams.

        Parameters
        ----------
        request : FollowRequest
            Identifies this host and the revision it has.
        update_timeout : float
            Longest time to wait for the next update, in seconds.

        Raises
        ------
        CallError
            If the call fails or an update does not come in time.
        """
        method = UnaryStreamMethod(
            self._channel, FOLLOW_PATH, FollowRequest, FollowUpdate
        )
        with _calling():
            await self._connect()
            async with method.open() as stream:
                await stream.send_message(request, end=True)
                limit_messages(stream)
                while True:
                    async with asyncio.timeout(update_timeout):
                        update = await stream.recv_message()
                    if update is None:
                        return
                    yield _decompressed(update)

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def _connect(self) -> None:
        async with asyncio.timeout(self.connect_timeout):
            await self._channel.__connect__()

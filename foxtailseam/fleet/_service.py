"""The calls between hosts, over grpclib."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import msgspec
from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from foxtailseam.codecs import MessagePackCodec
from foxtailseam.fleet._messages import FollowRequest, FollowUpdate, MemberExchange

EXCHANGE_PATH = "/foxtailseam.Fleet/Exchange"
FOLLOW_PATH = "/foxtailseam.Fleet/Follow"
# What a call raises where the other host is lost, late or ill.
CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    msgspec.MsgspecError,
)


class FleetCalls(Protocol):
    """What a host answers to others."""

    def exchange(self, message: MemberExchange) -> MemberExchange:
        """Merge what the sender knows and return what is known here."""

    def follow(self, request: FollowRequest) -> AsyncIterator[FollowUpdate]:
        """Yield updates until the caller leaves."""


class _Handlers:
    def __init__(self, calls: FleetCalls):
        self.calls = calls

    def __mapping__(self) -> dict[str, Handler]:
        return {
            EXCHANGE_PATH: Handler(
                self._exchange, Cardinality.UNARY_UNARY, MemberExchange, MemberExchange
            ),
            FOLLOW_PATH: Handler(
                self._follow, Cardinality.UNARY_STREAM, FollowRequest, FollowUpdate
            ),
        }

    async def _exchange(self, stream: Stream) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(self.calls.exchange(message))

    async def _follow(self, stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            return
        async for update in self.calls.follow(request):
            await stream.send_message(update)


async def serve(address: str, calls: FleetCalls) -> Callable[[], Awaitable[None]]:
    """Serve other hosts on ``IP:PORT``; return a function that stops it."""
    server = Server([_Handlers(calls)], codec=MessagePackCodec())
    host, _, port = address.rpartition(":")
    await server.start(host, int(port))

    async def stop() -> None:
        server.close()

    return stop


class FleetChannel:
    """A connection to another host.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the host.
    connect_timeout : float
        Bound on opening it, in seconds.
    """

    def __init__(self, address: str, connect_timeout: float):
        self.address = address
        self.connect_timeout = connect_timeout
        host, _, port = address.rpartition(":")
        self._channel = Channel(host, int(port), codec=MessagePackCodec())

    async def exchange(self, message: MemberExchange, timeout: float) -> MemberExchange:
        """Exchange members; raises an error of the network or of grpclib."""
        call = UnaryUnaryMethod(
            self._channel, EXCHANGE_PATH, MemberExchange, MemberExchange
        )
        await self._connect()
        async with asyncio.timeout(timeout):
            return await call(message)

    async def follow(
        self, request: FollowRequest, silence: float
    ) -> AsyncIterator[FollowUpdate]:
        """Yield the other host's updates; raises if it is silent for too long."""
        method = UnaryStreamMethod(
            self._channel, FOLLOW_PATH, FollowRequest, FollowUpdate
        )
        await self._connect()
        async with method.open() as stream:
            await stream.send_message(request, end=True)
            while True:
                async with asyncio.timeout(silence):
                    update = await stream.recv_message()
                if update is None:
                    return
                yield update

    def close(self) -> None:
        """Close the connection."""
        self._channel.close()

    async def _connect(self) -> None:
        async with asyncio.timeout(self.connect_timeout):
            await self._channel.__connect__()

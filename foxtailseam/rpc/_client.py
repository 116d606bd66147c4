"""gRPC client for calls to other processes, with one channel per peer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from result import Err, Ok, Result

from foxtailseam.codecs import MessagePackCodec, call_unary
from foxtailseam.rpc import _services as services
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
from foxtailseam.rpc._services import Method

# Delay before a retired channel is closed: the longest deadline that rules can
# set, so that no call is still using the channel.
RETIRED_CHANNEL_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class CallError:
    """Failure of a call that got no valid reply.

    Parameters
    ----------
    peer : str
        ``IP:PORT`` of the peer.
    sent : bool
        False only if certainly no byte of the request was sent.
    detail : str
        Name of the exception type, or another short reason.
    """

    peer: str
    sent: bool
    detail: str


class PeerChannels:
    """Client with one channel per peer, for use on one event loop only.

    Parameters
    ----------
    on_envelope : callable
        Called with the envelope of each reply, which holds the peer's state.
    connect_timeout : timedelta
        Maximum time to open a connection.
    """

    def __init__(
        self,
        on_envelope: Callable[[Envelope], None],
        connect_timeout: timedelta = timedelta(milliseconds=500),
    ):
        self.on_envelope = on_envelope
        self.connect_timeout = connect_timeout
        self._codec = MessagePackCodec()
        self._channels: dict[str, Channel] = {}

    async def exchange(
        self, peer: str, request: ExchangeRequest, timeout: timedelta
    ) -> Result[ExchangeReply, CallError]:
        """Exchange suspicions and leaving notices with a peer."""
        return await self._call(services.EXCHANGE, peer, request, timeout)

    async def pull(
        self, peer: str, request: PullRequest, timeout: timedelta
    ) -> Result[PullReply, CallError]:
        """Get the rules, snapshots and hosts that a peer has in a newer revision."""
        return await self._call(services.PULL, peer, request, timeout)

    async def search(
        self, peer: str, request: SearchRequest, timeout: timedelta
    ) -> Result[SearchReply, CallError]:
        """Run the sub-requests of a query on a gather."""
        return await self._call(services.SEARCH, peer, request, timeout)

    async def submit(
        self, peer: str, request: SubmitRequest, timeout: timedelta
    ) -> Result[SubmitReply, CallError]:
        """Run a non-repeatable request on a gather."""
        return await self._call(services.SUBMIT, peer, request, timeout)

    async def run_ticket(
        self, peer: str, request: TicketRequest, timeout: timedelta
    ) -> Result[TicketReply, CallError]:
        """Run a request on the entry that minted its ticket."""
        return await self._call(services.RUN_TICKET, peer, request, timeout)

    def close_channel(self, peer: str) -> None:
        """Close the channel to a peer, if any; the next call opens a new one."""
        channel = self._channels.pop(peer, None)
        if channel is not None:
            channel.close()

    def retire(self, peer: str) -> None:
        """Use a new connection for new calls; calls in flight keep the old one.

        A connection can stop delivering data for good while new ones work.
        """
        channel = self._channels.pop(peer, None)
        if channel is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(RETIRED_CHANNEL_SECONDS, channel.close)

    def close(self) -> None:
        """Close all channels."""
        for peer in list(self._channels):
            self.close_channel(peer)

    async def _call(
        self, method: Method, peer: str, request: Any, timeout: timedelta
    ) -> Result[Any, CallError]:
        channel = self._channel(peer)
        try:
            # Connecting first distinguishes a refused connection, where nothing was
            # sent, from a lost request.
            connect_seconds = self.connect_timeout.total_seconds()
            await asyncio.wait_for(channel.__connect__(), connect_seconds)
        except (OSError, TimeoutError) as error:
            self.close_channel(peer)
            return Err(CallError(peer, False, type(error).__name__))
        call = UnaryUnaryMethod(channel, method.path, method.request, method.reply)
        try:
            reply = await asyncio.wait_for(
                call_unary(call, request), timeout.total_seconds()
            )
        # Of the connection, the library or the decoder: only the peer can cause it.
        except Exception as error:
            return Err(CallError(peer, True, type(error).__name__))
        self.on_envelope(reply.envelope)
        return Ok(reply)

    def _channel(self, peer: str) -> Channel:
        channel = self._channels.get(peer)
        if channel is None:
            host, _, port = peer.rpartition(":")
            channel = Channel(host, int(port), codec=self._codec)
            self._channels[peer] = channel
        return channel

"""Calls to other processes, one channel for each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

from foxtailseam.codecs import MessagePackCodec
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

# No call lasts longer than the longest deadline that rules can set.
RETIRED_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class CallError:
    """A call that got no reply.

    Parameters
    ----------
    peer : str
        ``IP:PORT`` of the peer.
    sent : bool
        False only if it is certain that no byte of the request left.
    detail : str
        Name of the failure.
    """

    peer: str
    sent: bool
    detail: str


class PeerChannels:
    """Keeps a channel to each peer; to be used from one event loop.

    Parameters
    ----------
    heard : callable
        Called with the envelope of each reply.
    connect_timeout : timedelta
        Bound on opening a connection.
    """

    def __init__(
        self,
        heard: Callable[[Envelope], None],
        connect_timeout: timedelta = timedelta(milliseconds=500),
    ):
        self.heard = heard
        self.connect_timeout = connect_timeout
        self._codec = MessagePackCodec()
        self._channels: dict[str, Channel] = {}

    async def exchange(
        self, peer: str, request: ExchangeRequest, timeout: timedelta
    ) -> Result[ExchangeReply, CallError]:
        """Exchange soft state with a peer."""
        return await self._call(services.EXCHANGE, peer, request, timeout)

    async def pull(
        self, peer: str, request: PullRequest, timeout: timedelta
    ) -> Result[PullReply, CallError]:
        """Ask a peer for what it has newer."""
        return await self._call(services.PULL, peer, request, timeout)

    async def search(
        self, peer: str, request: SearchRequest, timeout: timedelta
    ) -> Result[SearchReply, CallError]:
        """Have a gather run sub-requests."""
        return await self._call(services.SEARCH, peer, request, timeout)

    async def submit(
        self, peer: str, request: SubmitRequest, timeout: timedelta
    ) -> Result[SubmitReply, CallError]:
        """Have a gather run a request that may not be repeated."""
        return await self._call(services.SUBMIT, peer, request, timeout)

    async def run_ticket(
        self, peer: str, request: TicketRequest, timeout: timedelta
    ) -> Result[TicketReply, CallError]:
        """Forward a request to the entry that minted its ticket."""
        return await self._call(services.RUN_TICKET, peer, request, timeout)

    def forget(self, peer: str) -> None:
        """Close the channel to a peer that is gone."""
        channel = self._channels.pop(peer, None)
        if channel is not None:
            channel.close()

    def retire(self, peer: str) -> None:
        """Use a new connection from now on; calls in flight keep the old one.

        A connection can go silent for good while new ones work.
        """
        channel = self._channels.pop(peer, None)
        if channel is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(RETIRED_SECONDS, channel.close)

    def close(self) -> None:
        """Close all channels."""
        for peer in list(self._channels):
            self.forget(peer)

    async def _call(
        self, method: Method, peer: str, request: Any, timeout: timedelta
    ) -> Result[Any, CallError]:
        channel = self._channel(peer)
        try:
            # Opening first tells a refused connection from a lost request.
            connect_seconds = self.connect_timeout.total_seconds()
            await asyncio.wait_for(channel.__connect__(), connect_seconds)
        except (OSError, TimeoutError) as error:
            self.forget(peer)
            return Err(CallError(peer, False, type(error).__name__))
        call = UnaryUnaryMethod(channel, method.path, method.request, method.reply)
        try:
            reply = await asyncio.wait_for(call(request), timeout.total_seconds())
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
            return Err(CallError(peer, True, type(error).__name__))
        self.heard(reply.envelope)
        return Ok(reply)

    def _channel(self, peer: str) -> Channel:
        channel = self._channels.get(peer)
        if channel is None:
            host, _, port = peer.rpartition(":")
            channel = Channel(host, int(port), codec=self._codec)
            self._channels[peer] = channel
        return channel

"""Sends forwarded requests to other hosts over channels that are kept open."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from foxtailseam.clocks import Clock
from foxtailseam.forwarding import (
    ForwardedRequest,
    PeerAnswered,
    PeerFailed,
    PeerResult,
    Unavailability,
)

# Timeout for opening a connection to another host.
CONNECT_TIMEOUT = timedelta(milliseconds=300)
# Channels that were not used for this long are closed.
IDLE_TIMEOUT = timedelta(seconds=30)


class ChannelForwardSender:
    """Sender of forwarded requests; implements `ForwardSender`.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._channels: dict[str, object] = {}
        self._used_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(
        self,
        address: str,
        request: ForwardedRequest,
        done: Callable[[PeerResult], None],
    ) -> asyncio.Task:
        """Send a request; see `ForwardSender.send`."""
        self._close_unused()
        task = asyncio.create_task(self._send(address, request))
        self._tasks.add(task)
        task.add_done_callback(partial(self._on_done, done))
        return task

    def close(self) -> None:
        """Cancel all requests and close all channels."""
        for task in self._tasks:
            task.cancel()
        for address in list(self._channels):
            self._close(address)

    def _on_done(self, done: Callable[[PeerResult], None], task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            done(task.result())

    async def _send(self, address: str, request: ForwardedRequest) -> PeerResult:
        from foxtailseam.fleet import _rpc

        self._used_at[address] = self.clock.monotonic()
        channel = self._channels.get(address)
        if channel is None:
            channel = _rpc.FleetChannel(address, CONNECT_TIMEOUT.total_seconds())
            self._channels[address] = channel
        try:
            await channel.connect()
        except _rpc.CALL_ERRORS:
            self._close(address)
            return PeerFailed(Unavailability.UNREACHABLE, sent=False)
        try:
            return PeerAnswered(await channel.forward(request))
        except _rpc.CALL_ERRORS as error:
            if _rpc.is_unimplemented(error):
                return PeerFailed(Unavailability.UNSUPPORTED, sent=False)
            self._close(address)
            return PeerFailed(Unavailability.LOST, sent=True)

    def _close_unused(self) -> None:
        oldest = self.clock.monotonic() - IDLE_TIMEOUT.total_seconds()
        for address, used_at in list(self._used_at.items()):
            if used_at < oldest:
                self._close(address)

    def _close(self, address: str) -> None:
        self._used_at.pop(address, None)
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

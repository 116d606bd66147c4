"""Sends forwarded requests to other hosts over channels that are kept open."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

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


class ChannelSend:
    """A forwarded request whose answer is awaited; implements `PendingSend`.

    Parameters
    ----------
    task : asyncio.Task
        Task that returns the `PeerResult`.
    done : callable
        Called with the result, unless the request is cancelled first.
    """

    def __init__(self, task: asyncio.Task, done: Callable[[PeerResult], None]):
        self._task = task
        self._done: Callable[[PeerResult], None] | None = done
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Abort the request; no result follows, even if the task has just ended."""
        self._done = None
        self._task.cancel()

    def _on_done(self, task: asyncio.Task) -> None:
        done, self._done = self._done, None
        if done is not None and not task.cancelled():
            done(task.result())


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
    ) -> ChannelSend:
        """Send a request; see `ForwardSender.send`."""
        self._close_unused()
        task = asyncio.create_task(self._send(address, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return ChannelSend(task, done)

    def close(self) -> None:
        """Cancel all requests and close all channels."""
        for task in self._tasks:
            task.cancel()
        for address in list(self._channels):
            self._close(address)

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
            if _rpc.breaks_connection(error):
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

"""Sends forwarded requests to other hosts over channels that are kept open."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from foxtailseam.clocks import Clock
from foxtailseam.forwarding import (
    ForwardedRequest,
    ForwardedResponse,
    PeerAnswered,
    PeerFailed,
    PeerResult,
    Unavailability,
)
from foxtailseam.supervision import Supervisor

# Timeout for opening a connection to another host.
CONNECT_TIMEOUT = timedelta(milliseconds=300)
# Channels that were not used for this long are closed.
IDLE_TIMEOUT = timedelta(seconds=30)
# New requests get another connection if one was sent this long ago, in seconds, and no
# response has come since: the connection may have fallen silent for good.
SILENCE_SECONDS = 0.5

# Sends a request on a `FleetChannel` and returns the response.
_Call = Callable[[Any], Awaitable[ForwardedResponse]]


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


class _SharedChannel:
    """Channel that all requests forwarded to one host share.

    Parameters
    ----------
    channel : FleetChannel
        The channel.
    """

    def __init__(self, channel):
        self.channel = channel
        self.used_at = float("-inf")
        self._in_flight = 0
        # When the first request without a response since was sent.
        self._silent_since = float("inf")
        self._is_retired = False

    def is_silent(self, now: float) -> bool:
        """Return whether a request waits, and nothing came, for `SILENCE_SECONDS`."""
        return now - self._silent_since >= SILENCE_SECONDS

    def begin(self, now: float) -> None:
        """Count a request that is sent."""
        self.used_at = now
        self._in_flight += 1
        self._silent_since = min(self._silent_since, now)

    def record_response(self, now: float) -> None:
        """Record that a response has come."""
        self._silent_since = now if self._in_flight > 1 else float("inf")

    def end(self) -> None:
        """Count a request as ended."""
        self._in_flight -= 1
        self._close_if_unused()

    def retire(self) -> None:
        """Close the channel once its requests have ended."""
        self._is_retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self._is_retired and not self._in_flight:
            self.channel.close()


class ChannelForwardSender:
    """Sender of requests; implements `ForwardSender` and `DelegationSender`.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    supervisor : Supervisor
        Receives the errors of a task.
    """

    def __init__(self, clock: Clock, supervisor: Supervisor):
        self.clock = clock
        self.supervisor = supervisor
        self._channels: dict[str, _SharedChannel] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(
        self,
        address: str,
        request: ForwardedRequest,
        done: Callable[[PeerResult], None],
    ) -> ChannelSend:
        """Send a request; see `ForwardSender.send`."""
        return self._start(address, lambda channel: channel.forward(request), done)

    def delegate(
        self,
        address: str,
        request: ForwardedRequest,
        attempts: int,
        on_accepted: Callable[[], None],
        done: Callable[[PeerResult], None],
    ) -> ChannelSend:
        """Send a query to a coordinator; see `DelegationSender.delegate`."""
        return self._start(
            address,
            lambda channel: channel.delegate(request, attempts, on_accepted),
            done,
        )

    def close(self) -> None:
        """Cancel all requests and close all channels."""
        for task in self._tasks:
            task.cancel()
        for shared in self._channels.values():
            shared.retire()
        self._channels.clear()

    def _start(
        self, address: str, call: _Call, done: Callable[[PeerResult], None]
    ) -> ChannelSend:
        self._retire_unused()
        task = asyncio.create_task(self._send(address, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return ChannelSend(task, done)

    async def _send(self, address: str, call: _Call) -> PeerResult:
        try:
            return await self._send_on_channel(address, call)
        except Exception as error:
            self.supervisor.record("forward", error)
            return PeerFailed(Unavailability.LOST, sent=True)

    async def _send_on_channel(self, address: str, call: _Call) -> PeerResult:
        shared = self._choose_channel(address)
        shared.begin(self.clock.monotonic())
        try:
            return await self._call(address, shared, call)
        finally:
            shared.end()

    async def _call(
        self, address: str, shared: _SharedChannel, call: _Call
    ) -> PeerResult:
        from foxtailseam.fleet import _rpc

        try:
            await shared.channel.connect()
        except _rpc.CallError:
            self._retire(address, shared)
            return PeerFailed(Unavailability.UNREACHABLE, sent=False)
        try:
            response = await call(shared.channel)
        except _rpc.CallError as error:
            if error.is_unimplemented:
                return PeerFailed(Unavailability.UNSUPPORTED, sent=False)
            if error.breaks_connection:
                self._retire(address, shared)
            return PeerFailed(Unavailability.LOST, sent=True)
        shared.record_response(self.clock.monotonic())
        return PeerAnswered(response)

    def _choose_channel(self, address: str) -> _SharedChannel:
        """Return the channel to a host for a new request."""
        from foxtailseam.fleet import _rpc

        shared = self._channels.get(address)
        if shared is not None and shared.is_silent(self.clock.monotonic()):
            self._retire(address, shared)
            shared = None
        if shared is None:
            channel = _rpc.FleetChannel(address, CONNECT_TIMEOUT.total_seconds())
            shared = self._channels[address] = _SharedChannel(channel)
        return shared

    def _retire_unused(self) -> None:
        oldest = self.clock.monotonic() - IDLE_TIMEOUT.total_seconds()
        for address, shared in list(self._channels.items()):
            if shared.used_at < oldest:
                self._retire(address, shared)

    def _retire(self, address: str, shared: _SharedChannel) -> None:
        """Use a channel for no new request."""
        if self._channels.get(address) is shared:
            del self._channels[address]
        shared.retire()

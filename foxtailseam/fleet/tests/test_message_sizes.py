"""Tests of what one message of another host can take of a host's memory."""

import asyncio
import contextlib
import struct
import subprocess
import sys
import zlib
from datetime import timedelta

import h2.config
import h2.connection
import h2.events
import msgspec
import pytest
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from foxtailseam.codecs import (
    MAX_MESSAGE_BYTES,
    MessagePackCodec,
    MessageTooLongError,
    _message_limit,
)
from foxtailseam.fleet import _rpc
from foxtailseam.fleet._messages import (
    FollowRequest,
    HostRecord,
    MemberExchange,
    WireChange,
)
from foxtailseam.fleet.tests.test_controller import free_addresses
from foxtailseam.forwarding import ForwardedRequest, ForwardedResponse

HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", _rpc.EXCHANGE_PATH),
    (":authority", "a"),
    ("te", "trailers"),
    ("content-type", "application/grpc+msgpack"),
]
ANNOUNCED_BYTES = 0xF0000000
SENT_BYTES = MAX_MESSAGE_BYTES + 32_000_000
END_EVENTS = (
    h2.events.StreamEnded,
    h2.events.StreamReset,
    h2.events.ConnectionTerminated,
)

FORWARDED = ForwardedRequest("127.0.0.1:1", "d1", b"GET", b"/", (), b"", 0.0, 0.0, 1, 1)
# Longer than what a host takes in before it reads.
RESPONSE_BYTES = 7_000_000
# Longest time that a call of a test takes, in seconds.
CALL_SECONDS = 10.0

# Messages that arrive at the same time, each of most of the longest one's bytes, and
# the time after which one that does not go on gives way, in seconds.
MESSAGES = 8
LONG_MESSAGE_BYTES = MAX_MESSAGE_BYTES - 1_000
RECEIVE_SECONDS = 1.0

# Memory limit of a host, and numbers of changes: those that just fit, and many more.
MEMORY_MB = 300
CHANGES = (550_000, 2_000_000)
# Prints the peak of its memory in kilobytes; ru_maxrss includes that of the parent.
APPLY_CHANGES = """
import re, sys
from pathlib import Path
from foxtailseam.fleet._messages import decompress_changes
from foxtailseam.store import Listing, Position, StoreReplica
try:
    changes = decompress_changes(sys.stdin.buffer.read())
    items = tuple(change.to_change(0) for change in changes)
    StoreReplica(lambda change: None).apply_listing(Listing(items, Position(0, 1)))
except Exception:
    pass
print(re.search(r"VmHWM:\\s+(\\d+)", Path("/proc/self/status").read_text())[1])
"""


class RawCall:
    """A call on a connection of its own, whose bytes the test sends itself."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.connection = h2.connection.H2Connection(h2.config.H2Configuration())
        self.connection.initiate_connection()
        self.connection.send_headers(1, HEADERS)

    @property
    def window(self):
        """Number of bytes that may be sent before the server has read more."""
        window = self.connection.local_flow_control_window(1)
        return min(window, self.connection.max_outbound_frame_size)

    async def announce(self, length):
        """Send the prefix of a message of `length` bytes."""
        await self.send(struct.pack("?", False) + struct.pack(">I", length))

    async def send(self, data):
        self.connection.send_data(1, data)
        self.writer.write(self.connection.data_to_send())
        await self.writer.drain()

    async def receive(self):
        """Receive what the server has sent; return whether it has ended the call."""
        received = await self.reader.read(65_536)
        events = self.connection.receive_data(received) if received else []
        self.writer.write(self.connection.data_to_send())
        return not received or any(isinstance(item, END_EVENTS) for item in events)


@contextlib.asynccontextmanager
async def raw_call(port):
    """Open a connection to a server and begin a call on it."""
    call = RawCall(*await asyncio.open_connection("127.0.0.1", port))
    try:
        yield call
    finally:
        call.writer.transport.abort()


@contextlib.asynccontextmanager
async def served(servicer):
    """Serve other hosts; provides the port."""
    (address,) = free_addresses(1)
    stop = await _rpc.serve(address, servicer, lambda *_: None)
    try:
        yield int(address.rpartition(":")[2])
    finally:
        await stop()


async def send_endless_message(port):
    """Send a part of a message; return whether the server ended its call meanwhile."""
    async with raw_call(port) as call:
        await call.announce(ANNOUNCED_BYTES)
        sent = 0
        while sent < SENT_BYTES:
            size = call.window
            if size:
                await call.send(bytes(size))
                sent += size
            elif await call.receive():
                return True
    return False


class RefusingServicer:
    """Servicer that keeps why messages were refused."""

    def __init__(self):
        self.refused = []

    def refuse(self, problem):
        self.refused.append(problem)


class EndlessHandlers(_rpc._Handlers):
    """Handlers of a host that answers each call with a message without end."""

    async def _answer(self, stream):
        await stream.recv_message()
        await stream.send_initial_metadata()
        prefix = struct.pack("?", False) + struct.pack(">I", ANNOUNCED_BYTES)
        await stream._stream.send_data(prefix)
        while True:
            await stream._stream.send_data(bytes(65_536))

    _exchange = _forward = _follow = _answer


async def exchange(channel):
    await channel.exchange(MemberExchange(()), CALL_SECONDS)


async def forward(channel):
    await asyncio.wait_for(channel.forward(FORWARDED), CALL_SECONDS)


async def follow(channel):
    request = FollowRequest(HostRecord("127.0.0.1:1", "d1", 1), 0)
    async for _ in channel.follow(request, CALL_SECONDS):
        pass


class TestEndlessMessage:
    # Guards against: another host's message of any length fills this host's memory.
    @pytest.mark.parametrize("call", [exchange, forward, follow])
    def test_an_answer_longer_than_any_ends_its_call_before_it_fills_the_memory(
        self, call
    ):
        async def main():
            server = Server(
                [EndlessHandlers(None, lambda *_: None)], codec=MessagePackCodec()
            )
            await server.start("127.0.0.1", 0)
            port = server._server.sockets[0].getsockname()[1]
            channel = _rpc.FleetChannel(f"127.0.0.1:{port}", 1.0)
            try:
                with pytest.raises(_rpc.CallError) as error_info:
                    await call(channel)
                return error_info.value.cause
            finally:
                channel.close()
                server.close()

        assert isinstance(asyncio.run(main()), MessageTooLongError)

    # Guards against: a caller on the port for hosts fills this host's memory.
    def test_a_message_longer_than_any_ends_its_call_before_it_fills_the_memory(self):
        async def main():
            async with served(RefusingServicer()) as port:
                return await asyncio.wait_for(send_endless_message(port), 30)

        assert asyncio.run(main())


async def hold_long_message(port):
    """Announce a long message and send a part; return once its call has ended."""
    async with raw_call(port) as call:
        await call.announce(LONG_MESSAGE_BYTES)
        await call.send(bytes(10_000))
        while not await call.receive():
            pass


class TestManyMessages:
    # Guards against: messages below the limit fill the memory, since they are many.
    def test_long_messages_arrive_one_at_a_time_and_give_way(self, monkeypatch):
        monkeypatch.setattr(
            _message_limit, "RECEIVE_TIMEOUT", timedelta(seconds=RECEIVE_SECONDS)
        )

        async def main():
            servicer = RefusingServicer()
            async with served(servicer) as port:
                calls = [hold_long_message(port) for _ in range(MESSAGES)]
                tasks = [asyncio.create_task(call) for call in calls]
                await asyncio.sleep(RECEIVE_SECONDS / 2)
                ended_at_once = sum(task.done() for task in tasks)
                await asyncio.wait_for(asyncio.gather(*tasks), CALL_SECONDS)
            return ended_at_once, servicer.refused

        ended_at_once, refused = asyncio.run(main())
        assert ended_at_once == MESSAGES - 1
        assert len(refused) == MESSAGES


class RespondingServicer(RefusingServicer):
    """Servicer that answers forwarded requests with long responses."""

    async def forward(self, request):
        return ForwardedResponse(200, (), bytes(RESPONSE_BYTES))


async def call_without_reading(address, hold):
    """Forward a request and take none of its response until `hold` is set.

    Returns the status of the call, or None if it is answered.
    """
    channel = _rpc.FleetChannel(address, 1.0)
    method = UnaryUnaryMethod(
        channel._channel, _rpc.FORWARD_PATH, ForwardedRequest, ForwardedResponse
    )
    try:
        async with method.open() as stream:
            await stream.send_message(FORWARDED, end=True)
            await stream.recv_initial_metadata()
            await hold.wait()
            await stream.recv_message()
    except GRPCError as error:
        return error.status
    finally:
        channel.close()


class TestUnreadResponses:
    # Guards against: responses that other hosts do not take fill the memory together.
    def test_responses_to_forwarded_requests_share_a_space(self):
        async def main():
            hold = asyncio.Event()
            async with served(RespondingServicer()) as port:
                address = f"127.0.0.1:{port}"
                calls = [call_without_reading(address, hold) for _ in range(MESSAGES)]
                tasks = [asyncio.create_task(call) for call in calls]
                await asyncio.sleep(RECEIVE_SECONDS)
                refused = [task.result() for task in tasks if task.done()]
                hold.set()
                answered = asyncio.gather(*tasks)
                results = await asyncio.wait_for(answered, 2 * CALL_SECONDS)
                channel = _rpc.FleetChannel(address, 1.0)
                response = await channel.forward(FORWARDED)
                channel.close()
            return refused, results, response

        refused, results, response = asyncio.run(main())
        fitting = _rpc.UNSENT_BYTES // RESPONSE_BYTES
        assert refused == [Status.RESOURCE_EXHAUSTED] * (MESSAGES - fitting)
        assert results.count(None) == fitting
        assert len(response.body) == RESPONSE_BYTES


class TestExpandingMessage:
    @pytest.mark.parametrize("count", CHANGES)
    def test_compressed_changes_do_not_take_a_host_over_its_memory_limit(self, count):
        changes = (WireChange(f"{i:06x}", 1, b"") for i in range(count))
        content = b"\xdd" + count.to_bytes(4, "big")
        content += b"".join(map(msgspec.msgpack.encode, changes))
        message = zlib.compress(content, 1)
        command = [sys.executable, "-c", APPLY_CHANGES]
        done = subprocess.run(command, input=message, capture_output=True, check=True)
        assert int(done.stdout) / 1000 < MEMORY_MB

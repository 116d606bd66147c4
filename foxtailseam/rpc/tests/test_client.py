"""Tests of the calls to other processes, against servers that answer oddly."""

import asyncio
import struct
from datetime import timedelta

import pytest
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from foxtailseam.clocks import HybridTimestamp
from foxtailseam.configuration import Revision
from foxtailseam.rpc import Envelope, PeerChannels, PullRequest
from foxtailseam.rpc import _services as services


class _RawCodec:
    __content_subtype__ = "msgpack"

    def encode(self, message, message_type):
        return message

    def decode(self, data, message_type):
        return data


class _Service:
    def __init__(self, answer):
        self.answer = answer

    async def _pull(self, stream):
        await stream.recv_message()
        await self.answer(stream)

    def __mapping__(self):
        handler = Handler(self._pull, Cardinality.UNARY_UNARY, bytes, bytes)
        return {services.PULL.path: handler}


async def malformed(stream):
    await stream.send_message(b"\xc1")


async def cut_message(stream):
    await stream.send_initial_metadata()
    await stream._stream.send_data(struct.pack("?", False) + struct.pack(">I", 9))


async def compressed(stream):
    await stream.send_initial_metadata()
    await stream._stream.send_data(struct.pack("?", True) + struct.pack(">I", 1) + b"a")


async def endless(stream):
    await stream.send_initial_metadata()
    await stream._stream.send_data(struct.pack("?", False) + b"\xf0\0\0\0")
    while True:
        await stream._stream.send_data(bytes(65_536))


class TestOddReplies:
    # Guards against: a call that never ends, or whose reply fills the memory.
    @pytest.mark.parametrize("answer", [malformed, cut_message, compressed, endless])
    def test_a_reply_that_cannot_be_read_is_a_failed_call(self, answer):
        async def main():
            server = Server([_Service(answer)], codec=_RawCodec())
            await server.start("127.0.0.1", 0)
            port = server._server.sockets[0].getsockname()[1]
            channels = PeerChannels(lambda envelope: None)
            revision = Revision()
            envelope = Envelope(
                HybridTimestamp(1, 0), "127.0.0.1:1", "i", False, *[revision] * 3
            )
            try:
                return await channels.pull(
                    f"127.0.0.1:{port}", PullRequest(envelope), timedelta(seconds=2)
                )
            finally:
                channels.close()
                server.close()

        result = asyncio.run(main())
        assert result.is_err()
        assert result.unwrap_err().sent
        assert result.unwrap_err().detail != "TimeoutError"

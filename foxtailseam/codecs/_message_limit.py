"""Limits of the messages that grpclib receives.

grpclib collects a message of any length, up to the 4 GB that its prefix can announce,
before it calls the codec.
"""

import asyncio
from datetime import timedelta
from typing import Any

import msgspec
from grpclib import client, server
from grpclib.client import UnaryUnaryMethod

from foxtailseam.codecs._message_pack import MAX_MESSAGE_BYTES
from foxtailseam.http import BufferSpace

# Messages up to this length need no space of the longer ones, which are few.
SMALL_MESSAGE_BYTES = 65_536
# Longest time from the prefix of a message to its end. One that waits for space or for
# its sender must not keep others from being received.
RECEIVE_TIMEOUT = timedelta(seconds=3)


class MessageTooLongError(msgspec.MsgspecError):
    """The prefix of a message announces more bytes than a message may have."""


class NoSpaceError(Exception):
    """Other messages that are being received take all the space for long ones."""


class NoMessageError(Exception):
    """A call ended without the message that it should have returned."""


def limit_messages(
    stream: server.Stream | client.Stream, space: BufferSpace | None = None
) -> None:
    """Let a stream fail before it receives a message that takes too much memory.

    Its `recv_message` then raises `MessageTooLongError`, `NoSpaceError`, or
    `TimeoutError` for a message that does not arrive in time.

    Parameters
    ----------
    stream : grpclib.server.Stream or grpclib.client.Stream
        A stream on which no message was received. On a client, the request has to be
        sent before.
    space : BufferSpace or None
        Space that the long messages of several streams may take while they arrive;
        None for no such limit.
    """
    http_stream = stream._stream
    receive = http_stream.recv_data

    async def receive_within_limits(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise MessageTooLongError(
                f"message of {size} bytes, allowed are at most {MAX_MESSAGE_BYTES}"
            )
        if space is None or size <= SMALL_MESSAGE_BYTES:
            return await receive(size)
        if not space.reserve(size):
            raise NoSpaceError(f"no space for a message of {size} bytes")
        try:
            async with asyncio.timeout(RECEIVE_TIMEOUT.total_seconds()):
                return await receive(size)
        finally:
            space.reserve(-size)

    http_stream.recv_data = receive_within_limits


async def call_unary(method: UnaryUnaryMethod, request: Any) -> Any:
    """Send a request and return the message that answers it.

    Parameters
    ----------
    method : UnaryUnaryMethod
        Method to call.
    request : object
        Message to send.

    Raises
    ------
    MessageTooLongError
        If the answer is too long.
    NoMessageError
        If the call ends without an answer.
    Exception
        What grpclib raises if the call fails in another way.
    """
    async with method.open() as stream:
        await stream.send_message(request, end=True)
        limit_messages(stream)
        return await receive_response(stream)


async def receive_response(stream: Any) -> Any:
    """Return the message that answers a call.

    Parameters
    ----------
    stream : grpclib.client.Stream
        A stream on which the request was sent.

    Raises
    ------
    NoMessageError
        If the call ends without an answer.
    Exception
        What grpclib raises if the call fails in another way.
    """
    response = await stream.recv_message()
    if response is None:
        raise NoMessageError("the call ended without a message")
    return response

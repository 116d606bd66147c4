"""Limit of the length of messages that grpclib receives.

grpclib collects a message of any length, up to the 4 GB that its prefix can announce,
before it calls the codec.
"""

from typing import Any

import msgspec
from grpclib import client, server
from grpclib.client import UnaryUnaryMethod

from foxtailseam.codecs._message_pack import MAX_MESSAGE_BYTES


class MessageTooLongError(msgspec.MsgspecError):
    """The prefix of a message announces more bytes than a message may have."""


class NoMessageError(Exception):
    """A call ended without the message that it should have returned."""


def limit_messages(stream: server.Stream | client.Stream) -> None:
    """Let a stream fail before it receives a message that is too long.

    Its `recv_message` then raises `MessageTooLongError`.

    Parameters
    ----------
    stream : grpclib.server.Stream or grpclib.client.Stream
        A stream on which no message was received. On a client, the request has to be
        sent before.
    """
    http_stream = stream._stream
    receive = http_stream.recv_data

    async def receive_within_limit(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise MessageTooLongError(
                f"message of {size} bytes, allowed are at most {MAX_MESSAGE_BYTES}"
            )
        return await receive(size)

    http_stream.recv_data = receive_within_limit


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
        response = await stream.recv_message()
    if response is None:
        raise NoMessageError("the call ended without a message")
    return response

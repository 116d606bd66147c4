"""Codec for the messages between processes, and the limit of their length."""

from foxtailseam.codecs._message_limit import (
    MessageTooLongError,
    NoMessageError,
    NoSpaceError,
    call_unary,
    limit_messages,
    receive_response,
)
from foxtailseam.codecs._message_pack import MAX_MESSAGE_BYTES, MessagePackCodec

__all__ = [
    "MAX_MESSAGE_BYTES",
    "MessagePackCodec",
    "MessageTooLongError",
    "NoMessageError",
    "NoSpaceError",
    "call_unary",
    "limit_messages",
    "receive_response",
]

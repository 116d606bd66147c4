"""MessagePack codec for data classes, for use with grpclib."""

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


@cache
def _decoder(message_type: type) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(message_type)


class MessagePackCodec(CodecBase):
    """grpclib codec that encodes data classes as MessagePack.

    Decoding validates messages against the data class.
    """

    __content_subtype__ = "msgpack"

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: type) -> bytes:
        """Return `message` encoded as MessagePack; `message_type` is not used.

        Bytes are taken as a message that is already encoded.
        """
        if isinstance(message, bytes):
            return message
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: type) -> Any:
        """Return the message that `data` encodes.

        Parameters
        ----------
        data : bytes
            MessagePack encoding of the message.
        message_type : type
            Data class of the message.

        Raises
        ------
        msgspec.MsgspecError
            If `data` is not a valid message of this type.
        """
        return _decoder(message_type).decode(data)

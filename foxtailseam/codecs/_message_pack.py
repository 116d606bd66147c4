"""MessagePack codec for data classes, for use with grpclib."""

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from foxtailseam.utils import DocumentDecoder, DocumentFormat

# Longest message that is decoded: the forwarded request or the listing that is longest.
MAX_MESSAGE_BYTES = 16_777_216


@cache
def _decoder(message_type: type) -> DocumentDecoder:
    return DocumentDecoder(message_type, MAX_MESSAGE_BYTES, DocumentFormat.MESSAGE_PACK)


class MessagePackCodec(CodecBase):
    """grpclib codec that encodes data classes as MessagePack.

    Decoding validates messages against the data class and the bounds of its types.
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
            If `data` is not a valid message of this type; no other error is raised,
            whatever the bytes are.
        """
        return _decoder(message_type).decode_or_raise(data, message_type.__name__)

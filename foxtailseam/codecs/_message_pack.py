"""MessagePack codec of frozen data classes, for grpclib."""

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


@cache
def _decoder(message_type: type) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(message_type)


class MessagePackCodec(CodecBase):
    """Encodes data classes; a message of the wrong shape is refused on decoding."""

    __content_subtype__ = "msgpack"

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: Any, message_type: type) -> bytes:
        """Return the bytes of `message`."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: type) -> Any:
        """Return the message; raises `msgspec.MsgspecError` on a wrong shape."""
        return _decoder(message_type).decode(data)

"""Codec for the messages between processes."""

from foxtailseam.codecs._message_pack import MessagePackCodec

__all__ = ["MessagePackCodec"]

"""Tests of the MessagePack codec."""

import msgspec
import pytest

from foxtailseam.clocks import HybridTimestamp
from foxtailseam.codecs import MessagePackCodec
from foxtailseam.configuration import Revision, RulesDifference
from foxtailseam.rpc import Envelope, ExchangeRequest, PullReply

REVISION = Revision(3, "ab")
ENVELOPE = Envelope(
    HybridTimestamp(5, 1), "127.0.0.1:1", "0" * 24, False, REVISION, REVISION, REVISION
)


class TestMessagePackCodec:
    def test_messages_round_trip(self):
        codec = MessagePackCodec()
        difference = RulesDifference(Revision(), REVISION, (), ("* limit 1  # A",))
        message = PullReply(ENVELOPE, difference, None, None)
        encoded = codec.encode(message, PullReply)
        assert codec.decode(encoded, PullReply) == message

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x80", b"\x81\xa1a\x01", b"\x93"])
    def test_invalid_message_is_rejected(self, data):
        with pytest.raises(msgspec.MsgspecError):
            MessagePackCodec().decode(data, ExchangeRequest)

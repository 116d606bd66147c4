"""Property tests: any bytes from another host end that call at most."""

import asyncio
import contextlib
import zlib
from dataclasses import replace
from datetime import timedelta

import msgspec
import pytest
from grpclib.server import Server
from hypothesis import example, given

from foxtailseam.catalogue import Catalogue
from foxtailseam.catalogue._catalogue import OUTAGE_GRACE_PERIOD
from foxtailseam.clocks import HybridTimestamp
from foxtailseam.codecs import MessagePackCodec
from foxtailseam.conditions import LeavingNotice, LimitNotice, PauseNotice
from foxtailseam.delegation import DelegationMessage
from foxtailseam.fleet import HostRecord, MemberExchange, _rpc
from foxtailseam.fleet._host_record import MemberNews
from foxtailseam.fleet._messages import (
    FollowRequest,
    FollowUpdate,
    WireChange,
    compress_changes,
    compress_records,
    decompress_changes,
)
from foxtailseam.fleet.tests.test_controller import free_addresses
from foxtailseam.fleet.tests.test_gossip import gossip
from foxtailseam.forwarding import ForwardedRequest, ForwardedResponse
from foxtailseam.front._peer_requests import to_call
from foxtailseam.locality import SpilloverNotice
from foxtailseam.platform.tests.test_foreign_input import IgnoredEvents
from foxtailseam.quarantine import SuspicionNotice, SuspicionState
from foxtailseam.store import Item, Listing, StoreReplica
from foxtailseam.utils import is_address
from foxtailseam.utils.tests._odd_documents import (
    DEPTH,
    EXAMPLES,
    message_pack_documents,
)
from foxtailseam_bench.simulation import VirtualTime

OWN_ADDRESS = "10.0.0.1:1"
# What a searcher or request is said to be ends within this time.
LONGEST_SECONDS = 3601.0
RECORD = HostRecord("10.0.0.2:1", "d1", 100, 5, False, 2)
EXCHANGE = MemberExchange(
    records=(RECORD, HostRecord("10.0.0.3:1", "d1", 100)),
    notices=(
        SuspicionNotice(
            "f", SuspicionState.QUARANTINED, 600_000, 1, HybridTimestamp(5, 1)
        ),
    ),
    limits=(LimitNotice("i-1", 100, 2.5, 300),),
    leaving=(LeavingNotice("i-1", 100, 300),),
    pauses=(PauseNotice("i-1", 100, 2_000),),
    spillover=(SpilloverNotice("s", 0.3, 50.0, 100),),
    news=(
        MemberNews(RECORD, True, 100),
        MemberNews(HostRecord(OWN_ADDRESS, "d1", 1, incarnation=1), True, 100),
    ),
    digest=7,
    wants_view=True,
    view=compress_records((RECORD,)),
)
CHANGE = WireChange("servers/i-1", 5, b"{}")
UPDATE = FollowUpdate((CHANGE, WireChange("k", 6, None)), 6, False, 100, 2_000, b"", 1)
COMPRESSED_UPDATE = FollowUpdate((), 6, True, 0, 0, compress_changes((CHANGE,)), 1)
FOLLOW = FollowRequest(RECORD, 5, True, 1)
FORWARDED = ForwardedRequest(
    "10.0.0.2:1", "d1", b"GET", b"/", ((b"Host", b"a"),), b"", 2.5, 6.0, 7, 2
)
DELEGATED = DelegationMessage(FORWARDED, 2)
DECLINED = ForwardedResponse(attempts_run=1, helpers=("10.0.0.3:1",))


def decoded(data, message_type, expand=lambda message: message):
    """Return the message, or None if decoding fails in the way that calls expect."""
    with contextlib.suppress(msgspec.MsgspecError):
        return expand(MessagePackCodec().decode(data, message_type))
    return None


class TestMessages:
    @EXAMPLES
    @example(b"\x81\xa1a" + b"\x91" * DEPTH)
    @given(message_pack_documents(EXCHANGE))
    def test_any_exchange_can_be_merged_and_passed_on(self, data):
        message = decoded(data, MemberExchange, _rpc._expanded)
        if message is None:
            return
        host = gossip(OWN_ADDRESS)
        host.finish(message)
        response = msgspec.msgpack.encode(host.respond(message))
        # What it is told makes a host send nothing that others refuse.
        assert decoded(response, MemberExchange) is not None
        assert all(map(is_address, host.membership.addresses))

    @EXAMPLES
    @example(
        msgspec.msgpack.encode(
            replace(
                EXCHANGE,
                notices=(replace(EXCHANGE.notices[0], remaining_ms=10**12),),
                limits=(LimitNotice("i-1", 100, 2.5, -(10**12)),),
                leaving=(LeavingNotice("i-1", 100, -(10**12)),),
                pauses=(PauseNotice("i-1", 100, 10**12),),
            )
        )
    )
    @given(message_pack_documents(EXCHANGE))
    def test_nothing_that_an_exchange_says_of_searchers_lasts_for_ever(self, data):
        message = decoded(data, MemberExchange, _rpc._expanded)
        if message is None:
            return
        host = gossip(OWN_ADDRESS)
        host.finish(message)
        time = host.membership.clock
        time.run_until(time.monotonic() + LONGEST_SECONDS)
        assert not host.conditions.notices().all
        assert not host.quarantine.notices()

    @EXAMPLES
    @given(message_pack_documents(UPDATE) | message_pack_documents(COMPRESSED_UPDATE))
    def test_any_update_can_be_applied(self, data):
        update = decoded(data, FollowUpdate, _rpc._decompressed)
        if update is None:
            return
        time = VirtualTime()
        catalogue = Catalogue(time, IgnoredEvents())
        catalogue.extend_grace(timedelta(milliseconds=update.grace_ms))
        assert catalogue.remaining_grace <= OUTAGE_GRACE_PERIOD.total_seconds()
        replica = StoreReplica(lambda change: None)
        changes = [change.to_change(update.era) for change in update.changes]
        items = tuple(change for change in changes if isinstance(change, Item))
        replica.apply_listing(Listing(items, update.position))
        replica.apply(changes, update.position)
        assert update.age_ms / 1000 >= 0
        msgspec.msgpack.encode(FollowRequest(RECORD, replica.position.revision))

    @EXAMPLES
    @given(message_pack_documents(FOLLOW))
    def test_any_request_to_follow_has_a_position_and_an_address(self, data):
        request = decoded(data, FollowRequest)
        if request is not None:
            host = gossip(OWN_ADDRESS)
            host.membership.mark_reached(request.sender)
            assert host.membership.addresses
            assert 0 <= request.position.revision < 2**63
            assert is_address(request.sender.address)

    @EXAMPLES
    @given(message_pack_documents(FORWARDED))
    def test_any_forwarded_request_has_a_time_of_arrival(self, data):
        message = decoded(data, ForwardedRequest)
        if message is not None:
            time = VirtualTime()
            call = to_call(message, time, print, print)
            elapsed = time.monotonic() - call.request.arrived_at
            assert timedelta() <= timedelta(seconds=elapsed + 0.001)

    @EXAMPLES
    @given(message_pack_documents(DELEGATED))
    def test_any_delegated_query_can_be_taken_as_a_call(self, data):
        message = decoded(data, DelegationMessage)
        if message is not None and message.request is not None:
            call = to_call(message.request, VirtualTime(), print, print)
            assert call.forward.attempts == message.request.attempts
            assert isinstance(message.attempts, int)

    @EXAMPLES
    @given(message_pack_documents(DECLINED))
    def test_the_helpers_of_any_forwarded_response_can_be_asked(self, data):
        message = decoded(data, ForwardedResponse)
        if message is not None:
            assert 0 <= message.status < 1000
            assert all(map(is_address, message.helpers))

    def test_changes_that_expand_without_bound_are_refused(self):
        compressor = zlib.compressobj(9)
        data = b"".join(compressor.compress(bytes(1_000_000)) for _ in range(200))
        data += compressor.flush()
        with pytest.raises(msgspec.MsgspecError, match="expand"):
            decompress_changes(data)


class OddServicer:
    """Answers each call with given bytes."""

    def __init__(self, answer):
        self.answer = answer
        self.refused = []

    def exchange(self, message):
        return msgspec.Raw(self.answer)

    def refuse(self, problem):
        self.refused.append(problem)


class TestCalls:
    @pytest.mark.parametrize(
        "answer",
        [
            b"\x91" * DEPTH,
            b"\xc1",
            b"",
            b"\x81\xa1a" * DEPTH,
            msgspec.msgpack.encode(replace(EXCHANGE, view=b"view")),
        ],
        ids=["deep list", "no message", "nothing", "deep map", "odd view"],
    )
    def test_an_odd_answer_is_an_error_of_the_call(self, answer):
        async def main():
            (address,) = free_addresses(1)
            stop = await _rpc.serve(address, OddServicer(answer), lambda *_: None)
            channel = _rpc.FleetChannel(address, 1.0)
            try:
                with pytest.raises(_rpc.CallError):
                    await channel.exchange(EXCHANGE, 1.0)
            finally:
                channel.close()
                await stop()

        asyncio.run(main())

    def test_an_odd_request_ends_that_call_only(self):
        async def main():
            (address,) = free_addresses(1)
            host = gossip(address)
            servicer = OddServicer(msgspec.msgpack.encode(host.request()))
            stop = await _rpc.serve(address, servicer, lambda *_: None)
            channel = _rpc.FleetChannel(address, 1.0)
            try:
                for odd in (b"\x81\xa1a" * DEPTH, replace(EXCHANGE, view=b"view")):
                    with pytest.raises(_rpc.CallError):
                        await channel.exchange(odd, 1.0)
                    answer = await channel.exchange(EXCHANGE, 1.0)
                    assert answer.records
                assert len(servicer.refused) == 2
            finally:
                channel.close()
                await stop()

        asyncio.run(main())

    def test_a_call_that_ends_without_a_message_is_an_error_of_the_call(self):
        # The client of grpclib raises AssertionError.
        class SilentHandlers(_rpc._Handlers):
            async def _exchange(self, stream):
                await stream.recv_message()
                # The server of grpclib refuses to end a call like this.
                stream._send_message_done = True
                await stream.send_initial_metadata()
                await stream.send_trailing_metadata()

        async def main():
            (address,) = free_addresses(1)
            server = Server(
                [SilentHandlers(None, lambda *_: None)], codec=MessagePackCodec()
            )
            host, _, port = address.rpartition(":")
            await server.start(host, int(port))
            channel = _rpc.FleetChannel(address, 1.0)
            try:
                with pytest.raises(_rpc.CallError):
                    await channel.exchange(EXCHANGE, 1.0)
            finally:
                channel.close()
                server.close()

        asyncio.run(main())

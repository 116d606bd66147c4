"""Tests of delegated queries between two hosts, in virtual time."""

import asyncio
import contextlib
from dataclasses import replace

import msgspec
import pytest

from foxtailseam.delegation import DelegationMessage
from foxtailseam.fleet import ChannelForwardSender, HostRecord, MemberExchange, _rpc
from foxtailseam.fleet.tests.test_controller import free_addresses
from foxtailseam.fleet.tests.test_forward_sender import supervisor
from foxtailseam.forwarding import (
    ForwardedRequest,
    ForwardedResponse,
    PeerAnswered,
    PeerFailed,
    Unavailability,
)
from foxtailseam_bench.simulation import run_in_virtual_time

REQUEST = ForwardedRequest(
    "127.0.0.1:1", "d1", b"GET", b"/q", ((b"Host", b"a"),), b"", 0.0, 6.0, 3, 1
)
RESPONSE = ForwardedResponse(200, ((b"Stamp", b"s"),), b"records")


class Servicer:
    """A coordinator that answers a delegated query when the test sets `response`."""

    def __init__(self):
        self.requests = []
        self.attempts = []
        self.problems = []
        self.is_cancelled = False
        self.done = None

    def delegate(self, request, done):
        self.requests.append(request)
        self.done = done
        return self

    def allow_attempts(self, attempts):
        self.attempts.append(attempts)

    def cancel(self):
        self.is_cancelled = True

    def refuse(self, problem):
        self.problems.append(problem)


class OlderHandlers(_rpc._Handlers):
    """Handlers of a release that knows no delegation."""

    def __mapping__(self):
        mapping = super().__mapping__()
        del mapping[_rpc.DELEGATE_PATH]
        return mapping


class Delegation:
    """A query that a sender delegates to a servicer."""

    def __init__(self, servicer, sender, address):
        self.servicer = servicer
        self.is_accepted = False
        self.result = asyncio.Future()
        self.pending = sender.delegate(
            address, REQUEST, 2, self._accept, self.result.set_result
        )

    def _accept(self):
        self.is_accepted = True


@contextlib.asynccontextmanager
async def delegated():
    clock = asyncio.get_running_loop()
    servicer = Servicer()
    (address,) = free_addresses(1)
    stop = await _rpc.serve(address, servicer, lambda *_: None)
    sender = ChannelForwardSender(clock, supervisor(clock))
    try:
        yield Delegation(servicer, sender, address)
    finally:
        sender.close()
        await stop()


class TestDelegate:
    def test_the_coordinator_accepts_before_it_answers(self):
        async def main():
            async with delegated() as query:
                await asyncio.sleep(0.1)
                assert query.servicer.requests == [REQUEST]
                assert query.is_accepted
                assert query.servicer.attempts == [2]
                assert not query.result.done()
                query.servicer.done(RESPONSE)
                assert await query.result == PeerAnswered(RESPONSE)
                assert not query.servicer.is_cancelled

        run_in_virtual_time(main())

    def test_a_cancelled_query_ends_at_the_coordinator(self):
        async def main():
            async with delegated() as query:
                await asyncio.sleep(0.1)
                query.pending.cancel()
                await asyncio.sleep(0.1)
                assert query.servicer.is_cancelled
                assert not query.result.done()
                assert not query.servicer.problems

        run_in_virtual_time(main())

    def test_an_answer_that_comes_at_once_is_enough(self):
        async def main():
            async with delegated() as query:
                delegate = query.servicer.delegate

                def answer_at_once(request, done):
                    done(RESPONSE)
                    return delegate(request, done)

                query.servicer.delegate = answer_at_once
                assert await query.result == PeerAnswered(RESPONSE)

        run_in_virtual_time(main())

    def test_an_older_host_has_not_run_it(self, monkeypatch):
        monkeypatch.setattr(_rpc, "_Handlers", OlderHandlers)

        async def main():
            async with delegated() as query:
                result = await query.result
                assert result == PeerFailed(Unavailability.UNSUPPORTED, sent=False)
                assert not query.is_accepted

        run_in_virtual_time(main())

    def test_a_host_that_stops_midway_may_have_run_it(self):
        async def main():
            async with delegated() as query:
                await asyncio.sleep(0.1)
                query.servicer.done(None)
                result = await query.result
                assert isinstance(result, PeerFailed)
                assert result.sent

        run_in_virtual_time(main())


class TestMessages:
    def test_a_host_of_an_earlier_release_sends_no_rate(self):
        record = HostRecord("10.0.0.1:1", "d1", 1, shard_call_rate=5_000)
        known = msgspec.to_builtins(record)
        del known["shard_call_rate"]
        old = msgspec.msgpack.encode({"records": [known]})
        decoded = msgspec.msgpack.decode(old, type=MemberExchange)
        assert decoded.records == (replace(record, shard_call_rate=0),)

    @pytest.mark.parametrize(
        "message", [DelegationMessage(REQUEST), DelegationMessage(attempts=2)]
    )
    def test_a_message_arrives_unchanged(self, message):
        data = msgspec.msgpack.encode(message)
        assert msgspec.msgpack.decode(data, type=DelegationMessage) == message

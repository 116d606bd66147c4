"""Tests of the field of gossip messages that carries spillover shares."""

import random
from dataclasses import dataclass

import msgspec

from foxtailseam.clocks import ManualClock
from foxtailseam.fleet import HostRecord, MemberExchange
from foxtailseam.fleet._state_exchange import StateExchange
from foxtailseam.locality import LocalityDecision, SpilloverNotice

RECORD = HostRecord("10.0.0.2:1", "d1", 100)
NOTICE = SpilloverNotice("s", 0.3, 50.0, 100)


@dataclass(frozen=True, slots=True)
class PreviousExchange:
    """What a host of the previous release knows of the message."""

    records: tuple[HostRecord, ...]


def exchange_of(decision):
    exchange = StateExchange()
    exchange.register("spillover", decision)
    return exchange


class TestSpilloverField:
    def test_takes_no_bytes_while_no_share_is_kept(self):
        decision = LocalityDecision(ManualClock(), "d1", random.Random(1))
        message = MemberExchange((RECORD,), **exchange_of(decision).notices())
        assert b"spillover" not in msgspec.msgpack.encode(message)

    def test_arrives_at_the_decision_of_another_host(self):
        data = msgspec.msgpack.encode(MemberExchange((RECORD,), spillover=(NOTICE,)))
        message = msgspec.msgpack.decode(data, type=MemberExchange)
        decision = LocalityDecision(ManualClock(), "d1", random.Random(1))
        decision.answers.append(("s", "d1", 0.03))
        decision.update()
        exchange_of(decision).merge(RECORD, message)
        assert decision.shares == {"s": 0.3}

    def test_a_host_of_the_previous_release_ignores_it_and_sends_none(self):
        data = msgspec.msgpack.encode(MemberExchange((RECORD,), spillover=(NOTICE,)))
        assert msgspec.msgpack.decode(data, type=PreviousExchange).records == (RECORD,)
        data = msgspec.msgpack.encode(PreviousExchange((RECORD,)))
        message = msgspec.msgpack.decode(data, type=MemberExchange)
        decision = LocalityDecision(ManualClock(), "d1", random.Random(1))
        exchange_of(decision).merge(RECORD, message)
        assert decision.shares == {}

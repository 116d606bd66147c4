"""Tests of how notices of slow searchers spread over a fleet, in virtual time."""

import msgspec
import pytest

from foxtailseam.conditions import SearcherConditions, Slowness, SlownessReport
from foxtailseam.conditions._slowness import REPORT_SECONDS
from foxtailseam.fleet import MemberExchange
from foxtailseam_bench.simulation import SimulatedFleet

SETTLE_SECONDS = 20.0
SEARCHERS = 258


def report(host, searcher, factor=8.0):
    """Let a host report a searcher."""
    registry = host.gossip.conditions
    report = SlownessReport(
        registry.clock.monotonic(), factor, host.address, host.failure_domain
    )
    registry.record(
        searcher,
        SearcherConditions(7, slowness=Slowness.from_reports((report,))),
    )


def factor(host, searcher="i-0"):
    """Return the factor by which a host estimates a searcher to be slow."""
    registry = host.gossip.conditions
    known = registry.get(searcher, 7)
    if known is None or known.slowness is None:
        return 1.0
    return registry.estimate(known.slowness, registry.clock.monotonic()).factor


def share_that_know(fleet, searcher="i-0"):
    knowing = sum(factor(host, searcher) > 1.0 for host in fleet.running)
    return knowing / len(fleet.running)


def settled(size, domains=3):
    fleet = SimulatedFleet(size, domains)
    fleet.run(SETTLE_SECONDS)
    return fleet


def sent_bytes(fleet):
    return sum(host.sent_bytes for host in fleet.hosts.values())


def report_third(fleet, seconds):
    """Let hosts report a third of the searchers, each every half second."""
    hosts = list(fleet.hosts.values())
    for _ in range(round(seconds / 0.5)):
        for number in range(SEARCHERS // 3):
            host = fleet.generator.choice(hosts)
            fleet.time.call_later(
                fleet.generator.uniform(0, 0.5), report, host, f"searcher-{number:05}"
            )
        fleet.run(0.5)


class TestSpread:
    # Guards against: hosts learn of a slow searcher when it is fast again.
    @pytest.mark.parametrize("size", [6, 73, 195])
    def test_most_hosts_know_within_a_second(self, size):
        fleet = settled(size)
        report(next(iter(fleet.hosts.values())), "i-0")
        fleet.run(1.0)
        assert share_that_know(fleet) >= 0.9

    def test_the_end_spreads_as_fast(self):
        fleet = settled(73)
        hosts = list(fleet.hosts.values())
        report(hosts[0], "i-0")
        fleet.run(2.0)
        report(hosts[40], "i-0", factor=1.0)
        fleet.run(1.0)
        assert share_that_know(fleet) <= 0.1

    def test_without_a_renewal_it_ends_everywhere(self):
        fleet = settled(73)
        report(next(iter(fleet.hosts.values())), "i-0")
        fleet.run(REPORT_SECONDS + 0.1)
        assert share_that_know(fleet) == 0.0

    def test_a_host_that_starts_learns_at_once(self):
        fleet = settled(73)
        hosts = list(fleet.hosts.values())
        report(hosts[0], "i-0")
        fleet.run(1.5)
        fleet.restart(hosts[50])
        fleet.run(0.25)
        assert factor(hosts[50]) == 8.0

    def test_halves_that_are_cut_off_learn_when_they_are_joined(self):
        fleet = settled(24)
        hosts = list(fleet.hosts.values())
        half = {host.address for host in hosts[:12]}
        fleet.is_connected = lambda one, other: (
            (one.address in half) == (other.address in half)
        )
        for _ in range(4):
            report(hosts[0], "i-0")
            fleet.run(1.0)
        assert all(factor(host) == 8.0 for host in hosts[:12])
        assert all(factor(host) == 1.0 for host in hosts[12:])
        fleet.is_connected = lambda one, other: True
        # Hosts that took one another for lost find one another by the seeds.
        for _ in range(15):
            report(hosts[0], "i-0")
            fleet.run(1.0)
        assert share_that_know(fleet) == 1.0


class TestBytes:
    def test_a_fleet_without_slow_searchers_sends_no_byte_more(self):
        fleet = settled(6)
        message = next(iter(fleet.hosts.values())).gossip.request()
        assert b"slowness" not in msgspec.msgpack.encode(message)

    # Guards against: the notices of a third of all searchers use up what control may
    # send: 3 KB a second at 195 hosts.
    def test_a_third_of_the_searchers_stays_within_the_bound(self):
        seconds = 8.0
        quiet = settled(195)
        before = sent_bytes(quiet)
        quiet.run(seconds)
        usual = (sent_bytes(quiet) - before) / seconds / 195
        fleet = settled(195)
        before = sent_bytes(fleet)
        report_third(fleet, 6.0)
        known = [
            share_that_know(fleet, f"searcher-{number:05}")
            for number in range(SEARCHERS // 3)
        ]
        report_third(fleet, seconds - 6.0)
        sent = (sent_bytes(fleet) - before) / seconds / 195
        assert sent - usual <= 3000
        assert sum(known) / len(known) >= 0.8


class TestPreviousRelease:
    def test_a_message_without_the_field_is_understood(self):
        message = settled(6, 1).hosts["10.0.0.1:80"].gossip.request()
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        assert "slowness" not in fields
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(fields), type=MemberExchange
        )
        assert decoded.conditions.slowness == ()

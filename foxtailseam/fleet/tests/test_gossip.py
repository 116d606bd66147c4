"""Tests of the gossip of whole fleets, in virtual time."""

import random
from datetime import timedelta
from statistics import mean

import msgspec
import pytest

from foxtailseam.clocks import HybridClock
from foxtailseam.conditions import ConditionRegistry
from foxtailseam.fleet import Gossip, HostRecord, MemberExchange, Membership
from foxtailseam.quarantine import QuarantineController, SuspicionState
from foxtailseam_bench.simulation import SimulatedFleet, VirtualTime

SIZES = [8, 59, 195]
# Time within which a dead host is out of the view of all others, in seconds.
DETECTION_SECONDS = 15.0
# Time within which all hosts that start know one another, in seconds.
JOIN_SECONDS = 12.0
# Time within which that holds after all have been killed and restarted, in seconds.
RECOVERY_SECONDS = 15.0
# Largest number of bytes that a host sends for gossip, a second. Opening a connection
# and framing take about as much again.
MAX_BYTES_PER_SECOND = 700
QUARANTINE = timedelta(minutes=10)


def started_fleet(size, **options):
    fleet = SimulatedFleet(size, **options)
    fleet.run_until(lambda: not fleet.views_lacking(fleet.hosts), JOIN_SECONDS)
    return fleet


def alive_hosts(fleet):
    return {host.address for host in fleet.running}


class TestGossip:
    @pytest.mark.parametrize("size", SIZES)
    def test_hosts_that_start_together_know_one_another_soon(self, size):
        started_fleet(size)

    @pytest.mark.parametrize("size", SIZES)
    def test_a_dead_host_is_out_of_all_views_in_time(self, size):
        fleet = started_fleet(size)
        times = []
        for number in range(3):
            fleet.hosts[f"10.0.{number + 4}.1:80"].is_running = False
            times.append(
                fleet.run_until(
                    lambda: not fleet.views_lacking(alive_hosts(fleet)),
                    DETECTION_SECONDS,
                )
            )
        assert mean(times) <= 10.0

    @pytest.mark.parametrize("seed", range(3))
    def test_a_host_that_lives_stays_in_all_views(self, seed):
        fleet = started_fleet(59, seed=seed)
        for _ in range(240):
            fleet.run(0.25)
            assert fleet.views_lacking(fleet.hosts) == 0

    def test_lost_messages_put_no_living_host_out_of_the_view_for_long(self):
        fleet = started_fleet(59)
        generator = random.Random(1)
        fleet.is_connected = lambda *_: generator.random() > 0.05
        lacking = []
        for _ in range(240):
            fleet.run(0.25)
            known = sum(len(host.known) for host in fleet.running)
            lacking.append(1 - known / 59**2)
        assert mean(lacking) < 0.01

    def test_a_cut_in_one_direction_puts_no_host_out_of_the_other_views(self):
        fleet = started_fleet(59)
        first, second = list(fleet.hosts.values())[4:6]
        fleet.is_connected = lambda sender, receiver: (
            (sender, receiver)
            != (
                first,
                second,
            )
        )
        others = [h for h in fleet.hosts.values() if h not in (first, second)]
        for _ in range(120):
            fleet.run(0.25)
            assert all(len(host.known) == 59 for host in others)

    def test_a_failure_domain_that_is_lost_is_out_of_all_views_in_time(self):
        fleet = started_fleet(195)
        for host in fleet.running:
            host.is_running = host.failure_domain != "d2"
        fleet.run_until(
            lambda: not fleet.views_lacking(alive_hosts(fleet)), DETECTION_SECONDS
        )

    @pytest.mark.parametrize("seconds", [3.0, 20.0, 60.0])
    def test_halves_that_were_cut_apart_meet_again(self, seconds):
        fleet = started_fleet(59)
        halves = set(list(fleet.hosts)[::2])
        fleet.is_connected = lambda sender, receiver: (
            (sender.address in halves) == (receiver.address in halves)
        )
        fleet.run(seconds)
        fleet.is_connected = lambda *_: True
        fleet.run_until(lambda: not fleet.views_lacking(fleet.hosts), JOIN_SECONDS)

    @pytest.mark.parametrize("seconds", [2.0, 6.0, 45.0])
    def test_hosts_that_freeze_are_known_again_soon(self, seconds):
        fleet = started_fleet(59)
        frozen = list(fleet.hosts.values())[10:16]
        for host in frozen:
            host.is_running = False
        fleet.run(seconds)
        for host in frozen:
            host.is_running = True
        fleet.run_until(lambda: not fleet.views_lacking(fleet.hosts), JOIN_SECONDS)

    def test_hosts_that_are_killed_and_restart_are_known_soon(self):
        fleet = started_fleet(195)
        for share in (0.6, 1.0):
            count = int(share * len(fleet.hosts))
            killed = fleet.generator.sample(list(fleet.hosts.values()), count)
            for host in killed:
                host.is_running = False
            fleet.run(1.0)
            for host in killed:
                fleet.restart(host)
            fleet.run_until(
                lambda: not fleet.views_lacking(fleet.hosts), RECOVERY_SECONDS
            )
            starts = {h.gossip.membership.own_record.started_ms for h in killed}
            assert 1 not in starts

    @pytest.mark.parametrize("size", SIZES)
    def test_a_host_sends_few_bytes_however_many_there_are(self, size):
        fleet = started_fleet(size)
        fleet.run(10)
        before = sum(host.sent_bytes for host in fleet.hosts.values())
        across_before = sum(host.sent_across for host in fleet.hosts.values())
        fleet.run(60)
        sent = sum(host.sent_bytes for host in fleet.hosts.values()) - before
        across = sum(host.sent_across for host in fleet.hosts.values()) - across_before
        assert sent / size / 60 <= MAX_BYTES_PER_SECOND
        if size > 2 * fleet.domains:
            assert across <= 0.6 * sent


def gossip(address):
    time = VirtualTime()
    generator = random.Random(address)
    return Gossip(
        Membership(HostRecord(address, "d1", 1), time, generator),
        QuarantineController(time, HybridClock(time)),
        ConditionRegistry(time, generator),
        lambda: None,
        lambda: None,
    )


class TestEarlierRelease:
    """Hosts of the release before know neither news nor digests."""

    def test_its_request_is_answered_with_the_records_of_all_hosts(self):
        host = gossip("10.0.0.1:1")
        host.membership.merge(
            [HostRecord(f"10.0.1.{n}:1", "d1", 1, incarnation=1) for n in range(20)]
        )
        old = msgspec.msgpack.encode(
            {
                "records": [
                    {
                        "address": "10.0.0.2:1",
                        "failure_domain": "d1",
                        "started_ms": 5,
                        "count": 7,
                        "is_leaving": False,
                    }
                ],
                "notices": [],
            }
        )
        response = host.respond(msgspec.msgpack.decode(old, type=MemberExchange))
        assert len(response.records) == 22
        assert "10.0.0.2:1" in host.membership.addresses

    def test_hosts_that_send_no_counter_get_one_that_rises(self):
        host = gossip("10.0.0.1:1")
        started_ms = int(host.membership.clock.now().timestamp() * 1000)
        host.membership.merge([HostRecord("10.0.0.2:1", "d1", started_ms, 0, False, 1)])
        counts = []
        for _ in range(4):
            host.membership.clock.run_until(host.membership.clock.monotonic() + 3)
            _, record = host.membership.legacy_records()
            counts.append(record.count)
        assert counts == [3, 6, 9, 12]

    def test_its_heartbeats_refute_a_suspicion(self):
        host = gossip("10.0.0.1:1")
        old = HostRecord("10.0.0.2:1", "d1", 5, 7)
        host.membership.merge([old])
        host.membership.mark_failed(old.address)
        assert old.address not in host.membership.addresses
        host.membership.merge([HostRecord("10.0.0.2:1", "d1", 5, 8)])
        assert old.address in host.membership.addresses


class TestManyCrashesAtOnce:
    """Crashes of searchers, each under a request of its own, on a large fleet."""

    SIZE = 195
    SECONDS = 4.0
    # What control may send on each node, in bytes a second.
    MAX_NODE_BYTES_PER_SECOND = 25_000
    # Time after the third crash within which no host sends the request again.
    BINDING_SECONDS = 4.0

    def crash(self, fleet, host, number):
        host.gossip.quarantine.record_loss(f"{number:024x}", QUARANTINE, alone=False)
        fleet.exchange_soon(host)

    def test_the_bytes_stay_within_what_control_may_send(self):
        fleet = started_fleet(self.SIZE)
        fleet.run(2.0)
        hosts = list(fleet.hosts.values())
        before = sum(host.sent_bytes for host in hosts)
        for number in range(117):
            fleet.time.call_later(
                self.SECONDS * number / 117,
                self.crash,
                fleet,
                fleet.generator.choice(hosts),
                number,
            )
        fleet.run(self.SECONDS)
        sent = sum(host.sent_bytes for host in hosts) - before
        allowed = self.MAX_NODE_BYTES_PER_SECOND * self.SECONDS * self.SIZE
        assert sent <= allowed
        fleet.run(4.0)
        known = [len(host.gossip.quarantine.notices()) for host in hosts]
        assert min(known) == max(known) == 64

    @pytest.mark.parametrize("size", SIZES)
    def test_a_request_that_crashes_searchers_is_refused_by_all_hosts_in_time(
        self, size
    ):
        fleet = started_fleet(size)
        hosts = list(fleet.hosts.values())
        for number in range(3):
            self.crash(fleet, hosts[number], 0)
            fleet.run(1.2)
        fingerprint = f"{0:024x}"
        fleet.run_until(
            lambda: all(
                host.gossip.quarantine.state(fingerprint) is SuspicionState.QUARANTINED
                for host in hosts
            ),
            self.BINDING_SECONDS - 1.2,
        )

    def test_a_host_that_starts_later_knows_what_is_refused(self):
        fleet = started_fleet(59)
        hosts = list(fleet.hosts.values())
        for _ in range(2):
            self.crash(fleet, hosts[7], 0)
            fleet.run(1.2)
        fleet.run(60.0)
        fleet.restart(hosts[30])
        fleet.run(3.0)
        state = hosts[30].gossip.quarantine.state(f"{0:024x}")
        assert state is SuspicionState.QUARANTINED

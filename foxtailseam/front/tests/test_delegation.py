"""Tests of delegated queries on several hosts, in virtual time.

Hosts 0 and 3 are in one failure domain. Host 0 has a narrow link.
"""

import pytest

from foxtailseam.http import find_header
from foxtailseam.logs import EventCode
from foxtailseam.platform import REQUEST_ID_HEADER
from foxtailseam.quarantine import SuspicionState
from foxtailseam_bench.simulation import simulated_hosts, simulated_service

SHARDS = 90
GOAL_MS = 71
SERVICE_SECONDS = 0.008
MAX_ATTEMPTS = 2
# A link of 7 megabits per second takes this time for a call of 550 bytes.
NARROW_CALL_SECONDS = 550 / 875_000
NARROW, WIDE = 1_590, 20_000


@pytest.fixture
def hosts():
    with simulated_hosts(4, SERVICE_SECONDS, GOAL_MS, SHARDS) as tiers:
        tiers[0].link.call_seconds = NARROW_CALL_SECONDS
        tiers[0].peers.set_rates([NARROW, WIDE, WIDE, WIDE])
        yield tiers


def runs_by_shard(tier, call):
    """Return how often each shard has run the request of a call."""
    identifier = find_header(call.request.headers, REQUEST_ID_HEADER)
    return [
        sum(searcher.runs.count(identifier) for searcher in members)
        for members in tier.searchers.values()
    ]


def returned(tier):
    return [
        fields
        for code, fields in tier.log.events
        if code is EventCode.DELEGATION_RETURNED
    ]


def load(tier, end=4.0):
    tier.load("/urgent/q", 5.0, tier.time.monotonic(), end)
    tier.time.run_until(end + 2.0)
    return list(tier.answered())


def in_time_and_complete(calls):
    return sum(
        call.response.status == 200
        and call.seconds <= GOAL_MS / 1000
        and not call.missing_shards
        for call in calls
    )


class TestNarrowLink:
    def test_queries_of_a_host_with_a_narrow_link_are_complete_in_time(self, hosts):
        calls = load(hosts[0])
        assert set(hosts[0].peers.served) == {"host-3"}
        assert in_time_and_complete(calls) >= 0.95 * len(calls)

    def test_they_are_not_without_a_coordinator(self, hosts):
        hosts[0].peers.set_rates([NARROW, WIDE, WIDE, NARROW])
        calls = load(hosts[0])
        assert not hosts[0].peers.served
        assert in_time_and_complete(calls) < 0.5 * len(calls)

    def test_a_coordinator_delegates_no_query_of_another_host(self):
        with simulated_hosts(7, SERVICE_SECONDS, GOAL_MS, SHARDS) as tiers:
            # Host 3 may coordinate for host 0, and host 6 for both.
            tiers[0].peers.set_rates([NARROW, WIDE, WIDE, 2 * NARROW, WIDE, WIDE, WIDE])
            calls = load(tiers[0])
            assert set(tiers[0].peers.served) == {"host-3", "host-6"}
            assert len(tiers[0].peers.served) == len(calls)

    def test_requests_to_one_service_stay(self):
        with simulated_service(4, 4, 0.01, GOAL_MS) as tiers:
            tiers[0].peers.set_rates([1, WIDE, WIDE, WIDE])
            call = tiers[0].send("/read/x")
            tiers[0].time.run_until(1.0)
            assert call.response.status == 200
            assert not tiers[0].peers.served


class TestLostCoordinator:
    def test_a_frozen_one_costs_little_time(self, hosts):
        hosts[0].link.call_seconds = 0.0
        hosts[0].peers.frozen.add("host-3")
        call = hosts[0].send("/urgent/q")
        hosts[0].time.run_until(1.0)
        assert call.response.status == 200
        assert call.seconds < GOAL_MS / 1000
        assert returned(hosts[0])[0]["reason"] == "lost"

    def test_it_is_not_asked_again_at_once(self, hosts):
        hosts[0].peers.frozen.add("host-3")
        hosts[0].send("/urgent/q")
        hosts[0].time.run_until(0.5)
        hosts[0].send("/urgent/q")
        hosts[0].time.run_until(0.9)
        assert len(returned(hosts[0])) == 1

    def test_one_that_refuses_connections_costs_no_attempt(self, hosts):
        hosts[0].peers.lost.add("host-3")
        call = hosts[0].send("/urgent/q")
        hosts[0].time.run_until(1.0)
        assert call.response.status == 200
        assert returned(hosts[0])[0]["reason"] == "unreachable"

    def test_no_shard_runs_a_query_more_often_than_its_route_allows(self, hosts):
        # The coordinator serves the query, but nothing of what it says arrives.
        hosts[0].peers.silent.add("host-3")
        for searchers in hosts[0].searchers.values():
            for searcher in searchers:
                searcher.slowness = 4.0
        call = hosts[0].send("/urgent/q")
        hosts[0].time.run_until(3.0)
        assert max(runs_by_shard(hosts[0], call)) <= MAX_ATTEMPTS

    def test_a_query_lost_after_its_acceptance_is_not_called_not_run(self, hosts):
        for searchers in hosts[0].searchers.values():
            for searcher in searchers:
                searcher.slowness = 20.0
        call = hosts[0].send("/urgent/q")
        hosts[0].time.run_until(0.03)
        hosts[0].peers.lost.add("host-3")
        hosts[0].time.run_until(3.0)
        assert call.response.status == 502
        assert max(runs_by_shard(hosts[0], call)) <= MAX_ATTEMPTS


class TestAcceptedQueries:
    def test_a_coordinator_uses_the_attempt_that_was_kept(self, hosts):
        slow = [members[0] for members in hosts[0].searchers.values()]
        for searcher in slow[:5]:
            searcher.paused_until = 10.0
        calls = load(hosts[0], 2.0)
        assert in_time_and_complete(calls) >= 0.9 * len(calls)

    def test_a_caller_that_leaves_cancels_the_query(self, hosts):
        call = hosts[0].send("/urgent/q")
        hosts[0].time.run_until(0.01)
        assert hosts[3].front.in_flight == 1
        call.on_disconnect()
        assert hosts[0].front.in_flight == 0
        assert hosts[3].front.in_flight == 0

    def test_a_coordinator_with_a_backlog_takes_no_more(self, hosts):
        # Each query takes 4.5 ms of the coordinator.
        calls = [hosts[0].send("/urgent/q") for _ in range(20)]
        hosts[0].time.run_until(3.0)
        assert {item["reason"] for item in returned(hosts[0])} == {"busy"}
        assert all(call.response is not None for call in calls)

    def test_a_coordinator_that_stops_gives_queries_back(self, hosts):
        hosts[3].front.peers.is_stopping = True
        call = hosts[0].send("/urgent/q")
        hosts[0].time.run_until(1.0)
        assert call.response.status == 200
        assert returned(hosts[0])[0]["reason"] == "stopping"


class TestHostsThatStayAlone:
    def test_a_suspect_query_is_served_by_the_host_itself(self, hosts):
        hosts[0].front.quarantine_guard.state = lambda _: SuspicionState.SUSPECT
        hosts[0].send("/urgent/q")
        hosts[0].time.run_until(1.0)
        assert not hosts[0].peers.served

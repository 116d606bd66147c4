"""Load tests of searchers that are cold after their start, in virtual time."""

import asyncio
import json
import time
from contextlib import contextmanager

import pytest

from foxtailseam.front.tests._deployment import SHARDS, single_route
from foxtailseam.logs import EventCode
from foxtailseam.rate_limits import RAMP_SECONDS, HostGroup
from foxtailseam.store import Item, Position
from foxtailseam_bench.simulation import simulated_service

WARMUP_SECONDS = 8.0
EXCESS = 1.5
SLACK = 5.0
# The hosts know one another, and requests are sent, from this time on.
START = 5.0
# Requests on the way when a searcher becomes cold are not counted.
REACTION_SECONDS = 0.5
MAX_RETRY_AFTER = 30.0


def set_rate(tiers, rate):
    """Set the requests per second that cold searchers of all services accept."""
    for tier in tiers:
        routes = tier._options["routes"]
        services = [
            {"name": name, "max_conns": 26, "warmup_s": 8, "warmup_per_s": rate}
            for name in tier.searchers
        ]
        document = {"version": 2, "routes": routes, "services": services}
        value = json.dumps(document).encode()
        change = Item("op/config", value, Position(0, 2))
        tier.configuration_manager.apply_change(change)


def make_cold(tiers, number, sequence=1, seconds=WARMUP_SECONDS):
    """Publish searcher `number` of the service as one that is cold."""
    for tier in tiers:
        searcher = tier.searchers["records"][number]
        entry = {
            "service": "records",
            "address": tier._address_of(searcher),
            "zone": f"d{number + 1}",
            "max_concurrency": searcher.slots,
            "state": "ready",
            "warmup_left_ms": 1_000 * seconds,
            "sequence": sequence,
            "born": 0,
        }
        key, value = f"servers/records-{number}", json.dumps(entry).encode()
        change = Item(key, value, Position(0, 2 + sequence))
        tier.configuration_manager.apply_change(change)


@contextmanager
def cold_service(hosts, rate, queries, cold, searchers=4, until=20.0):
    """Yield tiers and their searchers, of which the first `cold` are so at `START`."""
    with simulated_service(hosts, searchers, 0.05, 600) as tiers:
        set_rate(tiers, rate)
        for number, tier in enumerate(tiers):
            tier.load("/read/q", queries / hosts, number / queries, until)
        tiers[0].time.run_until(START)
        for number in range(cold):
            make_cold(tiers, number)
        yield tiers, tiers[0].searchers["records"]


def max_in_a_second(searcher, start, end):
    times = [at for at, _ in searcher.arrivals if start < at <= end]
    return max((sum(at - 1.0 < t <= at for t in times) for at in times), default=0)


def calls_between(tiers, start, end):
    return [c for t in tiers for c in t.calls if start <= c.sent_at < end]


class TestColdSearchers:
    @pytest.mark.parametrize("rate", [2.0, 10.0])
    @pytest.mark.parametrize("hosts", [1, 6, 75, 195])
    def test_they_get_no_more_requests_than_they_accept(self, hosts, rate):
        with cold_service(hosts, rate, 100, 4) as (tiers, searchers):
            tiers[0].time.run_until(START + WARMUP_SECONDS)
        for searcher in searchers:
            start, end = START + REACTION_SECONDS, START + WARMUP_SECONDS
            assert max_in_a_second(searcher, start, end) <= rate * EXCESS + SLACK
        if hosts <= 6:
            arrived = sum(
                at > START + 1 for item in searchers for at, _ in item.arrivals
            )
            assert arrived >= 0.5 * rate * 4 * (WARMUP_SECONDS - 1)

    @pytest.mark.parametrize("hosts", [1, 6, 75, 195])
    def test_what_they_do_not_take_is_refused_at_once(self, hosts):
        with cold_service(hosts, 2.0, 100, 4) as (tiers, _):
            tiers[0].time.run_until(START + WARMUP_SECONDS)
        calls = calls_between(tiers, START + 1, START + WARMUP_SECONDS - 1)
        refused = [c for c in calls if c.response.status == 503]
        assert len(refused) >= 0.5 * len(calls)
        for call in refused:
            assert call.seconds < 0.01
            retry_after = dict(call.response.headers)[b"Retry-After"]
            assert 0 < float(retry_after) <= MAX_RETRY_AFTER

    @pytest.mark.parametrize("hosts", [1, 6, 75, 195])
    def test_the_others_serve_what_they_can(self, hosts):
        # A domain returns: half of the searchers are cold.
        with cold_service(hosts, 2.0, 24, 2) as (tiers, _):
            tiers[0].time.run_until(START + WARMUP_SECONDS)
        calls = calls_between(tiers, START + 1, START + WARMUP_SECONDS - 1)
        assert all(call.response.status == 200 for call in calls)

    @pytest.mark.parametrize("hosts", [1, 6, 75])
    def test_load_returns_in_steps_after_the_cold_period(self, hosts):
        with cold_service(hosts, 2.0, 60, 4, until=24) as (tiers, searchers):
            tiers[0].time.run_until(26)
        ended_at = START + WARMUP_SECONDS
        counts = [
            sum(
                ended_at + half / 2 <= at < ended_at + (half + 1) / 2
                for item in searchers
                for at, _ in item.arrivals
            )
            for half in range(int(2 * RAMP_SECONDS))
        ]
        assert counts[0] <= 0.5 * 30 + 4 * SLACK
        late = calls_between(tiers, ended_at + RAMP_SECONDS + 0.5, 23)
        # With 75 hosts a searcher sheds a request now and then, also if none is cold.
        served = sum(call.response.status == 200 for call in late)
        assert served >= 0.98 * len(late)

    def test_a_searcher_that_becomes_cold_again_is_bounded_again(self):
        with cold_service(6, 2.0, 100, 4, until=30) as (tiers, searchers):
            tiers[0].time.run_until(17)
            for number in range(4):
                make_cold(tiers, number, sequence=2)
            tiers[0].time.run_until(17 + WARMUP_SECONDS)
        for searcher in searchers:
            start, end = 17 + REACTION_SECONDS, 17 + WARMUP_SECONDS
            assert max_in_a_second(searcher, start, end) <= 2.0 * EXCESS + SLACK

    @pytest.mark.parametrize("hosts", [6, 75, 195])
    def test_hosts_that_cannot_communicate_stay_within_the_bound(self, hosts):
        with cold_service(hosts, 10.0, 400, 4) as (tiers, searchers):
            tiers[0].time.run_until(7)
            for number, tier in enumerate(tiers):
                # Each half of the hosts takes the other for failed.
                half = number < hosts // 2
                alive = range(hosts // 2) if half else range(hosts // 2, hosts)
                addresses = frozenset(f"host-{index}" for index in alive)
                tier.dispatcher.gates.set_hosts(HostGroup(f"host-{number}", addresses))
            tiers[0].time.run_until(START + WARMUP_SECONDS)
        for searcher in searchers:
            start, end = START + REACTION_SECONDS, START + WARMUP_SECONDS
            assert max_in_a_second(searcher, start, end) <= 10.0 * EXCESS + SLACK

    @pytest.mark.parametrize("rate", [0, None])
    def test_without_a_rate_nothing_changes(self, rate):
        counts = []
        for cold in (0, 4):
            with simulated_service(1, 4, 0.05, 600) as tiers:
                if rate is not None:
                    set_rate(tiers, rate)
                for number in range(cold):
                    make_cold(tiers, number, seconds=WARMUP_SECONDS)
                tiers[0].load("/read/q", 50, 1.0, 8.0)
                tiers[0].time.run_until(10)
                gates = [item.gate for item in tiers[0].dispatcher.searchers]
            assert gates == [None] * 4
            counts.append(sum(c.response.status == 200 for c in tiers[0].calls))
        assert counts[0] == counts[1] == 350

    def test_the_gate_is_gone_after_the_ramp(self):
        with cold_service(1, 2.0, 20, 4) as (tiers, _):
            tiers[0].time.run_until(START + WARMUP_SECONDS + RAMP_SECONDS + 1)
            dispatcher = tiers[0].dispatcher
            assert [item.gate for item in dispatcher.searchers] == [None] * 4
            assert not any(dispatcher.gates.by_service.values())


class TestHostProcesses:
    """The bound holds over two host processes, each with many callers."""

    def test_cold_searchers_get_few_requests_and_the_rest_is_refused(
        self, run_scenario
    ):
        async def scenario(deployment):
            routes = [single_route("read", "idempotent")]
            deployment.publish((*SHARDS, "single"), routes, warmup_rate=4)
            hosts = [await deployment.start_host(1)]
            seeds = (hosts[0].listen["control_plane"],)
            hosts.append(await deployment.start_host(2, seeds))
            for host in hosts:
                await host.wait_until_ready()
            await asyncio.sleep(4)
            single = [s for n, s in deployment.searchers.items() if "single" in n]
            for searcher in single:
                searcher.warmup_ms = 20_000
                entry = searcher.entry("single") | {"sequence": 2}
                deployment.store.put(f"servers/{searcher.identifier}", entry)
            await asyncio.sleep(1.5)
            runs, statuses, started_at = [], [], time.monotonic()
            while time.monotonic() < started_at + 4:
                for host in hosts:
                    status, headers, _ = await host.get("/read/x")
                    statuses.append(status)
                    assert status in (200, 503), (status, headers)
                    assert status == 200 or float(headers["retry-after"]) > 0
                runs.append((time.monotonic(), [len(s.runs) for s in single]))
            for index in range(2):
                for at, counts in runs:
                    since = [c[index] for t, c in runs if at - 1.0 <= t <= at]
                    assert counts[index] - since[0] <= 4 * EXCESS + SLACK
            assert set(statuses) == {200, 503}
            metrics = [await host.metrics() for host in hosts]
            assert [item["searchers_cold_now"] for item in metrics] == [2, 2]
            events = [item["event"] for item in deployment.events(1)]
            assert events.count(EventCode.SEARCHER_COLD.number) == 2

        run_scenario(scenario)

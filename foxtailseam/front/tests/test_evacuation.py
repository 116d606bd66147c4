"""Tests of evacuated failure domains, in virtual time and with host processes."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from foxtailseam.front.tests._deployment import gather_route, single_route
from foxtailseam.logs import EventCode
from foxtailseam.store import Item, Position, Removal
from foxtailseam_bench.platform_deployment import PlatformDeployment, eventually
from foxtailseam_bench.simulation import (
    LinkFault,
    simulated_hosts,
    simulated_service,
)

# A request that has left a simulated host arrives after at most this many seconds.
IN_TRANSIT_SECONDS = 0.01
# An order is in effect on hosts that are not under load after this time.
EFFECT_SECONDS = 1.0
DOMAINS = ("d1", "d2", "d3")


def evacuate(tiers, *domains):
    for tier in tiers:
        for domain in domains:
            change = Item(f"op/evacuate/{domain}", b"{}", Position(0, 7))
            tier.configuration_manager.apply_change(change)


def revoke(tiers, *domains):
    for tier in tiers:
        for domain in domains:
            change = Removal(f"op/evacuate/{domain}", Position(0, 9))
            tier.configuration_manager.apply_change(change)


def load_all(tiers, path, rate, end):
    for number, tier in enumerate(tiers):
        tier.load(path, rate / len(tiers), number / rate, end)


def answered_calls(tiers, after, until=float("inf")):
    return [
        call
        for tier in tiers
        for call in tier.answered()
        if after < call.sent_at < until
    ]


def arrivals(searcher, after, until):
    return [at for at, _ in searcher.arrivals if after < at < until]


def events(tier, code):
    return [fields for found, fields in tier.log.events if found is code]


class TestEvacuatedSearchers:
    @pytest.mark.parametrize("hosts", [1, 6, 59])
    def test_requests_go_to_other_domains_until_the_order_is_revoked(self, hosts):
        with simulated_service(hosts, 6, 0.1, 600) as tiers:
            searchers = tiers[0].searchers["records"]
            load_all(tiers, "/read/q", 24, 16)
            tiers[0].time.run_until(4)
            evacuate(tiers, "d1", "d2")
            tiers[0].time.run_until(10)
            revoke(tiers, "d1")
            tiers[0].time.run_until(18)
        assert arrivals(searchers[0], 0, 4)
        for searcher in searchers[:2]:
            assert arrivals(searcher, 4 + IN_TRANSIT_SECONDS, 10) == []
        assert arrivals(searchers[0], 10, 18)
        assert arrivals(searchers[1], 10, 18) == []
        answers = answered_calls(tiers, 4)
        served = sum(call.response.status == 200 for call in answers)
        assert served >= 0.99 * len(answers)

    @pytest.mark.parametrize("hosts", [1, 6, 59])
    def test_queries_use_the_other_searcher_of_each_shard(self, hosts):
        with simulated_hosts(hosts, 0.011, 92) as tiers:
            load_all(tiers, "/urgent/q", 24, 8)
            tiers[0].time.run_until(4)
            evacuate(tiers, "d1")
            tiers[0].time.run_until(10)
        for members in tiers[0].searchers.values():
            assert arrivals(members[0], 4 + IN_TRANSIT_SECONDS, 10) == []
        answers = answered_calls(tiers, 4)
        assert all(call.response.status == 200 for call in answers)
        assert sum(call.missing_shards for call in answers) <= len(answers)

    def test_a_service_without_a_domain_left_refuses_at_once(self):
        with simulated_service(6, 2, 0.1, 600) as tiers:
            load_all(tiers, "/read/q", 12, 8)
            tiers[0].time.run_until(4)
            evacuate(tiers, "d1", "d2")
            tiers[0].time.run_until(10)
        for searcher in tiers[0].searchers["records"]:
            assert arrivals(searcher, 4 + IN_TRANSIT_SECONDS, 10) == []
        answers = answered_calls(tiers, 4)
        assert len(answers) > 40
        for call in answers:
            assert call.response.status == 503
            assert dict(call.response.headers)[b"Retry-After"]
            assert call.answered_at - call.sent_at < 0.01

    def test_queries_that_lack_too_many_shards_are_refused_at_once(self):
        with simulated_hosts(6, 0.011, 92) as tiers:
            load_all(tiers, "/urgent/q", 24, 8)
            tiers[0].time.run_until(4)
            evacuate(tiers, "d1", "d2")
            tiers[0].time.run_until(10)
        answers = answered_calls(tiers, 4)
        assert answers
        for call in answers:
            assert call.response.status == 503
            assert dict(call.response.headers)[b"Retry-After"]
            assert call.answered_at - call.sent_at < 0.01

    def test_shards_of_evacuated_searchers_alone_are_counted_as_missing(self):
        with simulated_hosts(1, 0.011, 92) as tiers:
            (tier,) = tiers
            for shard in ("shard1", "shard2"):
                tier.withdraw(shard, 1)
            tier.time.run_until(4)
            evacuate(tiers, "d1")
            for number in range(4):
                tier.send("/urgent/q")
                tier.time.run_until(5 + number)
        statuses = [call.response.status for call in tier.calls]
        assert statuses == [200] * 4
        assert [call.missing_shards for call in tier.calls] == [2] * 4

    @pytest.mark.parametrize("is_last", [False, True])
    def test_queued_requests_are_sent_elsewhere_or_refused_at_once(self, is_last):
        # More requests wait than any searcher takes at once.
        with simulated_service(1, 2, 1.0, 3_000) as tiers:
            (tier,) = tiers
            for _ in range(12):
                tier.send("/read/q", 4_000)
            tier.time.run_until(0.1)
            queued = [call for call in tier.calls if call.response is None]
            assert len(queued) > 8
            evacuate(tiers, "d1", *(["d2"] if is_last else []))
            tier.time.run_until(0.3)
            refused = [call for call in queued if call.response is not None]
            tier.time.run_until(8)
        first, second = tier.searchers["records"]
        assert arrivals(first, 0.1 + IN_TRANSIT_SECONDS, 8) == []
        if is_last:
            assert arrivals(second, 0.1 + IN_TRANSIT_SECONDS, 8) == []
            assert refused
            assert {call.response.status for call in refused} == {503}
        else:
            assert arrivals(second, 0.1 + IN_TRANSIT_SECONDS, 8)
        assert all(call.response is not None for call in tier.calls)

    def test_an_order_and_its_revocation_in_one_moment_change_nothing(self):
        with simulated_service(1, 2, 0.1, 600) as tiers:
            tiers[0].load("/read/q", 10, 0, 8)
            tiers[0].time.run_until(4)
            evacuate(tiers, "d1")
            revoke(tiers, "d1")
            tiers[0].time.run_until(10)
        assert arrivals(tiers[0].searchers["records"][0], 4, 10)

    def test_an_order_that_an_older_copy_lacks_is_kept_until_it_is_written_again(
        self,
    ):
        with simulated_service(1, 2, 0.1, 600) as tiers:
            (tier,) = tiers
            manager = tier.configuration_manager
            first, second = tier.searchers["records"]
            tier.load("/read/q", 10, 0, 20)
            evacuate(tiers, "d1", "d2")
            tier.time.run_until(4)
            manager.start_era(Position(1, 5))
            for domain in ("d1", "d2"):
                manager.apply_change(Removal(f"op/evacuate/{domain}", Position(1, 5)))
            tier.time.run_until(5.8)
            order = Item("op/evacuate/d1", b"{}", Position(1, 6))
            manager.apply_change(order)
            tier.time.run_until(12)
        assert arrivals(first, IN_TRANSIT_SECONDS, 12) == []
        assert arrivals(second, IN_TRANSIT_SECONDS, 6) == []
        assert arrivals(second, 6.5, 12)

    def test_hosts_that_serve_the_requests_of_others_honour_the_order(self):
        with simulated_hosts(6, 0.011, 92) as tiers:
            load_all(tiers, "/urgent/q", 24, 10)
            tiers[0].time.run_until(4)
            evacuate(tiers, "d1")
            tiers[0].link.fault = LinkFault.SILENT
            tiers[0].time.run_until(12)
        for members in tiers[0].searchers.values():
            assert arrivals(members[0], 4 + IN_TRANSIT_SECONDS, 12) == []
        late = answered_calls(tiers[:1], 7)
        assert late
        assert all(call.response.status == 200 for call in late)

    def test_a_name_of_no_domain_is_reported_once(self):
        with simulated_service(1, 2, 0.1, 600) as tiers:
            (tier,) = tiers
            tier.load("/read/q", 10, 0, 8)
            evacuate(tiers, "nowhere", "d2")
            tier.time.run_until(5)
            evacuate(tiers, "nowhere")
            tier.time.run_until(10)
        unknown = events(tier, EventCode.EVACUATION_UNKNOWN)
        assert [fields["failure_domain"] for fields in unknown] == ["nowhere"]
        assert all(call.response.status == 200 for call in tier.calls)


class EvacuationDeployment(PlatformDeployment):
    """Three shards and a service with searchers in three failure domains."""

    async def start(self):
        await self.start_store()
        services = {
            "shard-a": ("d1", "d2"),
            "shard-b": ("d2", "d3"),
            "shard-c": ("d3", "d1"),
            "single": DOMAINS,
        }
        for service, zones in services.items():
            for zone in zones:
                name = f"i-{service}-{zone}"
                await self.add_searcher(name, service, b"A" * 16, zone)
        routes = gather_route(), single_route("read", "idempotent")
        self.publish(services, routes)

    async def start_hosts(self):
        """Start a host in each failure domain."""
        hosts = [await self.start_host(0, zone=DOMAINS[0])]
        seeds = (hosts[0].listen["control_plane"],)
        for number in (1, 2):
            hosts.append(await self.start_host(number, seeds, zone=DOMAINS[number]))
        for host in hosts:
            await host.wait_until_ready()
        return hosts

    def runs_in(self, *zones):
        """Return the number of requests that searchers of some domains have run."""
        searchers = self.searchers.values()
        return sum(len(item.runs) for item in searchers if item.zone in zones)


@pytest.fixture
def run_scenario(tmp_path):
    """Return a function that runs a scenario on a new deployment."""

    def run(scenario):
        async def main():
            deployment = EvacuationDeployment(tmp_path)
            await deployment.start()
            try:
                await asyncio.wait_for(scenario(deployment), 60)
            finally:
                await deployment.stop()

        asyncio.run(main())

    return run


async def ask_all(hosts, seconds):
    """Send requests to all hosts for a time; return the answers by path."""
    answers = {"/all/q": [], "/read/q": []}
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for path, found in answers.items():
            for host in hosts:
                status, headers, _ = await host.get(path)
                found.append(SimpleNamespace(status=status, headers=headers))
        await asyncio.sleep(0.02)
    return answers


class TestHostProcesses:
    def test_an_order_takes_effect_on_all_hosts_and_is_revoked(self, run_scenario):
        async def scenario(deployment):
            hosts = await deployment.start_hosts()
            await ask_all(hosts, 0.5)
            assert deployment.runs_in("d1")

            deployment.store.put("op/evacuate/d1", {})
            await ask_all(hosts, EFFECT_SECONDS)
            runs = deployment.runs_in("d1")
            answers = await ask_all(hosts, 1.0)
            assert deployment.runs_in("d1") == runs
            for found in answers.values():
                assert {answer.status for answer in found} == {200}
            missing = [
                a.headers["foxtailseam-missing-parts"] for a in answers["/all/q"]
            ]
            assert set(missing) == {"0"}

            deployment.store.put("op/evacuate/d2", b"anything")
            await ask_all(hosts, EFFECT_SECONDS)
            runs = deployment.runs_in("d1", "d2")
            answers = await ask_all(hosts, 1.0)
            assert deployment.runs_in("d1", "d2") == runs
            missing = [
                a.headers["foxtailseam-missing-parts"] for a in answers["/all/q"]
            ]
            assert set(missing) == {"1"}

            deployment.store.put("op/evacuate/d3", {})
            await ask_all(hosts, EFFECT_SECONDS)
            runs = deployment.runs_in(*DOMAINS)
            answers = await ask_all(hosts, 0.5)
            assert deployment.runs_in(*DOMAINS) == runs
            for found in answers.values():
                assert {answer.status for answer in found} == {503}
                assert all(float(a.headers["retry-after"]) > 0 for a in found)
            metrics = await hosts[0].metrics()
            assert metrics["evacuated_domains"] == 3
            assert metrics["searchers_evacuated_now"] == len(deployment.searchers)

            for domain in DOMAINS:
                deployment.store.remove(f"op/evacuate/{domain}")

            async def is_served():
                found = await ask_all(hosts, 0.1)
                return all(a.status == 200 for items in found.values() for a in items)

            await eventually(is_served, 2.0)

        run_scenario(scenario)

    def test_an_order_stands_while_the_service_loses_history_and_data(
        self, run_scenario
    ):
        async def scenario(deployment):
            store = deployment.store
            store.era = 1
            hosts = await deployment.start_hosts()
            store.put("op/evacuate/d1", {})
            await ask_all(hosts, EFFECT_SECONDS)
            runs = deployment.runs_in("d1")
            store.compact()
            await ask_all(hosts, 2.0)
            # The copy lacks the order, which is written again after most of 2 s.
            store.put("op/evacuate/d1", {})
            store.restore(lost_revisions=3)
            await ask_all(hosts, 1.6)
            store.put("op/evacuate/d1", {})
            await ask_all(hosts, 2.0)
            assert deployment.runs_in("d1") == runs

            # A host that starts now knows the order before its first request.
            seeds = (hosts[0].listen["control_plane"],)
            started = await deployment.start_host(7, seeds, zone="d1")
            await started.wait_until_ready()
            await ask_all([started], 1.0)
            assert deployment.runs_in("d1") == runs

            # Without the service, what was known holds.
            store.is_unavailable = True
            await ask_all([*hosts, started], 2.0)
            assert deployment.runs_in("d1") == runs

        run_scenario(scenario)

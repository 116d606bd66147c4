"""Tests of the host process on loopback, against a simulated platform."""

import asyncio
import json
import signal
import time

import pytest

from foxtailseam.front.tests._deployment import (
    GRACE_SECONDS,
    SHARDS,
    gather_route,
)
from foxtailseam.store import FollowerSettings
from foxtailseam_bench.platform_deployment import eventually

CONFIGURATION_SECONDS = 3.0


class TestServing:
    def test_gather_and_single_requests_are_served(self, run_scenario):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            status, headers, body = await host.get("/all/q")
            assert status == 200
            assert headers["foxtailseam-missing-parts"] == "0"
            assert len(headers["foxtailseam-part-stamps"].split(", ")) == len(SHARDS)
            assert body == b"C" * 16 + b"B" * 16
            status, headers, body = await host.get("/book/x?y=1", "POST", b"slot")
            assert status == 200
            assert headers["foxtailseam-server-stamp"].startswith("stamp-i-single")
            runs = [r for s in deployment.searchers.values() for r in s.runs]
            assert runs.count(("POST", "/book/x?y=1", b"slot")) == 1
            assert (await host.get("/nowhere/"))[0] == 404

        run_scenario(scenario)

    def test_a_lost_response_is_retried_only_if_the_request_is_idempotent(
        self, run_scenario
    ):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            single = [s for n, s in deployment.searchers.items() if "single" in n]
            for searcher in single:
                searcher.loses_answers = True
            status, _, _ = await host.get("/book/x", "POST", b"slot")
            assert status == 502
            assert sum(len(searcher.runs) for searcher in single) == 1
            single[0].loses_answers = False
            for _ in range(4):
                assert (await host.get("/read/x"))[0] == 200

        run_scenario(scenario)

    def test_a_request_shed_by_every_searcher_is_reported_as_not_run(
        self, run_scenario
    ):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            for searcher in deployment.searchers.values():
                searcher.sheds = True
            status, headers, _ = await host.get("/book/x", "POST", b"slot")
            assert status == 503
            assert float(headers["retry-after"]) > 0
            assert not any(s.runs for s in deployment.searchers.values())

        run_scenario(scenario)

    def test_a_disconnected_caller_cancels_its_sub_requests(self, run_scenario):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            for searcher in deployment.searchers.values():
                searcher.seconds = 2.0
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(host.get("/all/q"), 0.3)

            async def is_cancelled():
                searchers = deployment.searchers.values()
                return sum(s.cancelled for s in searchers) >= len(SHARDS)

            await eventually(is_cancelled, 0.5)

        run_scenario(scenario)


class TestConfiguration:
    def test_a_change_reaches_every_host_and_is_kept(self, run_scenario):
        async def scenario(deployment):
            first = await deployment.start_host(1)
            seeds = (first.listen["control_plane"],)
            hosts = [first, await deployment.start_host(2, seeds)]
            hosts.append(await deployment.start_host(3, seeds))
            for host in hosts:
                await host.wait_until_ready()
            await asyncio.sleep(4)
            calls = deployment.store.calls
            changed_at = time.monotonic()
            deployment.configure(gather_route(path_prefix="/new/"))
            for host in hosts:

                async def in_force(host=host):
                    old = (await host.get("/all/q"))[0]
                    return old == 404 and (await host.get("/new/q"))[0] == 200

                await eventually(in_force, CONFIGURATION_SECONDS)
            # Two hosts read the service; the third gets the change from them. A reader
            # gets one answer for the change and starts a watch after each wait.
            watch_seconds = FollowerSettings().watch_wait.total_seconds()
            watches = (time.monotonic() - changed_at) / watch_seconds
            assert deployment.store.calls - calls <= 2 * (2 + watches)
            for host in hosts:
                assert (await host.get("/all/q"))[0] == 404

        run_scenario(scenario)

    def test_a_change_is_in_force_in_time_although_its_answers_are_lost(
        self, run_scenario
    ):
        async def scenario(deployment):
            hosts = [await deployment.start_host(1)]
            seeds = (hosts[0].listen["control_plane"],)
            hosts.append(await deployment.start_host(2, seeds))
            for host in hosts:
                await host.wait_until_ready()
            deployment.store.loses_answers = True
            deployment.configure(gather_route(path_prefix="/new/"))
            await asyncio.sleep(0.1)
            deployment.store.loses_answers = False
            for host in hosts:

                async def in_force(host=host):
                    return (await host.get("/new/q"))[0] == 200

                await eventually(in_force, CONFIGURATION_SECONDS)

        run_scenario(scenario)

    @pytest.mark.parametrize("fault", ["is_unavailable", "is_silent"])
    def test_a_host_started_in_an_outage_is_configured_by_another(
        self, run_scenario, fault
    ):
        async def scenario(deployment):
            first = await deployment.start_host(1)
            await first.wait_until_ready()
            setattr(deployment.store, fault, True)
            deployment.store.reset_connections()
            second = await deployment.start_host(2, (first.listen["control_plane"],))
            await second.wait_until_ready()
            assert (await second.get("/all/q"))[0] == 200

        run_scenario(scenario)

    def test_a_host_alone_in_an_outage_reports_not_ready(self, run_scenario):
        async def scenario(deployment):
            deployment.store.is_unavailable = True
            host = await deployment.start_host()
            await asyncio.sleep(1.5)
            status, headers, _ = await host.get("/all/q")
            assert status == 503
            assert float(headers["retry-after"]) > 0
            assert (await host.ask("readiness", "/-/ready"))[0] == 503
            deployment.store.is_unavailable = False
            await host.wait_until_ready()

        run_scenario(scenario)

    def test_a_change_is_applied_after_compaction_and_invalid_entries(
        self, run_scenario
    ):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            deployment.store.put("servers/i-strange", b"\xff\x00")
            deployment.store.put("servers/i-empty", {"service": "shard-a"})
            deployment.store.put("other/key", b"x")
            deployment.store.compact()
            deployment.configure(gather_route(path_prefix="/new/"))

            async def in_force():
                return (await host.get("/new/q"))[0] == 200

            await eventually(in_force, CONFIGURATION_SECONDS)

        run_scenario(scenario)

    def test_a_draining_searcher_gets_no_requests(self, run_scenario):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            leaving = deployment.searchers["i-single-x"]
            entry = leaving.entry("single", "draining")
            deployment.store.put("servers/i-single-x", entry)
            await asyncio.sleep(0.6)
            before = len(leaving.runs)
            for _ in range(12):
                assert (await host.get("/read/x"))[0] == 200
            assert len(leaving.runs) == before

        run_scenario(scenario)

    def test_a_searcher_that_says_that_it_leaves_gets_no_requests(self, run_scenario):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            deployment.store.is_unavailable = True
            leaving = deployment.searchers["i-single-x"]
            leaving.is_leaving = True
            while not leaving.runs:
                assert (await host.get("/read/x"))[0] == 200
            before = len(leaving.runs)
            for _ in range(12):
                assert (await host.get("/read/x"))[0] == 200
            assert len(leaving.runs) == before

        run_scenario(scenario)

    def test_a_searcher_that_asks_for_a_pause_gets_no_requests_in_it(
        self, run_scenario
    ):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            pausing = deployment.searchers["i-single-x"]
            pausing.sheds = True
            pausing.pause_seconds = 20.0
            while not pausing.rejections:
                assert (await host.get("/read/x"))[0] == 200
            for _ in range(12):
                assert (await host.get("/read/x"))[0] == 200
            assert pausing.rejections == 1

        run_scenario(scenario)


class TestServiceFromAnOlderCopy:
    async def start_hosts(self, deployment, count=3):
        deployment.store.era = 1
        hosts = [await deployment.start_host(1)]
        seeds = (hosts[0].listen["control_plane"],)
        for number in range(2, count + 1):
            hosts.append(await deployment.start_host(number, seeds))
        for host in hosts:
            await host.wait_until_ready()
        # Until only two of them read the service.
        await asyncio.sleep(4)
        return hosts

    async def check_in_force(self, hosts, path):
        for host in hosts:

            async def in_force(host=host):
                return (await host.get(path))[0] == 200

            await eventually(in_force, CONFIGURATION_SECONDS)

    @pytest.mark.parametrize("lost_revisions", [1, 4, 30])
    def test_a_configuration_written_again_under_a_lower_revision_is_in_force(
        self, run_scenario, lost_revisions
    ):
        async def scenario(deployment):
            hosts = await self.start_hosts(deployment)
            for number in range(30):
                deployment.store.put(f"other/{number}", b"x")
            deployment.configure(gather_route(path_prefix="/new/"))
            await self.check_in_force(hosts, "/new/q")
            listings = deployment.store.listings
            deployment.store.restore(lost_revisions)
            # Nothing known is given up while the copy shows an older configuration.
            await asyncio.sleep(1)
            await self.check_in_force(hosts, "/new/q")
            deployment.configure(gather_route(path_prefix="/newest/"))
            await self.check_in_force(hosts, "/newest/q")
            assert deployment.store.listings - listings <= 2 * 2

        run_scenario(scenario)

    def test_a_drained_searcher_gets_no_requests_although_the_copy_shows_it_ready(
        self, run_scenario
    ):
        async def scenario(deployment):
            hosts = await self.start_hosts(deployment, 2)
            leaving = deployment.searchers["i-single-x"]
            entry = leaving.entry("single", "draining") | {"sequence": 2}
            deployment.store.put("servers/i-single-x", entry)
            await asyncio.sleep(0.6)
            deployment.store.restore(1)
            await asyncio.sleep(2.5)
            before = len(leaving.runs)
            for host in hosts:
                for _ in range(12):
                    assert (await host.get("/read/x"))[0] == 200
            assert len(leaving.runs) == before
            # A host prefers the searcher that it has a connection to, so that one
            # must not serve.
            deployment.searchers["i-single-y"].sheds = True
            assert (await hosts[0].get("/read/x"))[0] == 503
            entry = leaving.entry("single") | {"sequence": 3}
            deployment.store.put("servers/i-single-x", entry)

            async def is_used():
                return (await hosts[0].get("/read/x"))[0] == 200

            await eventually(is_used, CONFIGURATION_SECONDS)
            assert len(leaving.runs) > before

        run_scenario(scenario)


class TestStopping:
    def test_requests_in_flight_are_finished(self, run_scenario):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            for searcher in deployment.searchers.values():
                searcher.seconds = 2.5
            running = asyncio.create_task(host.get("/book/x", "POST", b"slot"))
            await asyncio.sleep(0.2)
            host.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert (await host.ask("readiness", "/-/ready"))[0] == 503
            assert (await running)[0] == 200
            code = await asyncio.wait_for(host.process.wait(), GRACE_SECONDS)
            assert code == 0
            log = (deployment.directory / "host-1.log").read_text().splitlines()
            names = [json.loads(line)["name"] for line in log]
            assert names[0] in ("reading-started", "process-started")
            assert names[-1] == "process-stopped"
            assert "request-served" in names

        run_scenario(scenario)

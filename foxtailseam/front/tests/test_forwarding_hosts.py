"""Tests of host processes that forward requests to one another, on loopback."""

import asyncio
import time

import pytest

from foxtailseam.front.tests._cut_hosts import (
    open_relays,
    runs,
    start_cut_host,
    start_hosts,
    wait_for_links,
    wait_until_running,
)
from foxtailseam.front.tests._deployment import SHARDS
from foxtailseam_bench.platform_deployment import eventually

# Within this time a request is refused that no host can serve.
REFUSAL_SECONDS = 1.0


class TestHostsCutFromAllSearchers:
    def test_requests_of_all_kinds_are_served_by_another_host(self, run_scenario):
        async def scenario(deployment):
            with open_relays() as relays:
                first, _ = await start_hosts(deployment, relays)
                assert (await first.get("/all/q"))[0] == 200
                relays.refuse()
                await wait_for_links(first, False)
                status, headers, body = await first.get("/all/q")
                assert status == 200
                assert headers["foxtailseam-missing-parts"] == "0"
                assert len(headers["foxtailseam-part-stamps"].split(", ")) == len(
                    SHARDS
                )
                assert body == b"C" * 16 + b"B" * 16
                assert (await first.get("/read/x"))[0] == 200
                status, headers, _ = await first.get("/book/x?y=1", "POST", b"slot")
                assert status == 200
                assert headers["foxtailseam-server-stamp"].startswith("stamp-i-single")
                single = runs(deployment, "single")
                assert single.count(("POST", "/book/x?y=1", b"slot")) == 1
                relays.accept()
                await wait_for_links(first, True)
                served = (await first.metrics())["forwards_served_total"]
                assert (await first.get("/all/q"))[0] == 200
                assert (await first.metrics())["forwards_served_total"] == served

        run_scenario(scenario)

    def test_requests_are_refused_at_once_if_no_host_reaches_the_searchers(
        self, run_scenario
    ):
        async def scenario(deployment):
            with open_relays() as relays, open_relays() as second_relays:
                hosts = await start_hosts(deployment, relays, second_relays)
                relays.refuse()
                second_relays.refuse()
                for host in hosts:
                    await wait_for_links(host, False)
                for host in hosts:
                    started_at = time.monotonic()
                    status, headers, _ = await host.get("/book/x", "POST", b"slot")
                    assert status == 503
                    assert float(headers["retry-after"]) > 0
                    assert time.monotonic() - started_at < REFUSAL_SECONDS
                assert not runs(deployment, "single")

        run_scenario(scenario)

    def test_work_of_a_lost_helping_host_is_neither_repeated_nor_called_not_run(
        self, run_scenario
    ):
        async def scenario(deployment):
            with open_relays() as relays:
                first, second = await start_cut_host(deployment, relays)
                for searcher in deployment.searchers.values():
                    searcher.seconds = 1.0
                request = asyncio.create_task(first.get("/book/x", "POST", b"slot"))
                await wait_until_running(deployment, "single", 1)
                second.process.kill()
                status, _, _ = await request
                assert status in (502, 504)
                await asyncio.sleep(1.5)
                assert len(runs(deployment, "single")) == 1

        run_scenario(scenario)

    def test_a_caller_that_leaves_cancels_the_work_behind_the_other_host(
        self, run_scenario
    ):
        async def scenario(deployment):
            with open_relays() as relays:
                first, _ = await start_cut_host(deployment, relays)
                for searcher in deployment.searchers.values():
                    searcher.seconds = 2.0
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(first.get("/all/q"), 0.3)

                async def is_cancelled():
                    searchers = deployment.searchers.values()
                    return sum(s.cancelled for s in searchers) >= len(SHARDS)

                await eventually(is_cancelled, 0.5)

        run_scenario(scenario)

    def test_a_helping_host_that_stops_finishes_what_was_forwarded(self, run_scenario):
        async def scenario(deployment):
            with open_relays() as relays:
                first, second = await start_cut_host(deployment, relays)
                for searcher in deployment.searchers.values():
                    searcher.seconds = 2.0
                request = asyncio.create_task(first.get("/all/q", deadline_ms=2900))
                await wait_until_running(deployment, "shard", len(SHARDS))
                second.process.terminate()
                assert (await request)[0] == 200
                for searcher in deployment.searchers.values():
                    searcher.seconds = 0.0
                status, _, _ = await first.get("/all/q")
                assert status == 503

        run_scenario(scenario)

    def test_searchers_are_not_suspected_of_crashes_that_never_happened(
        self, run_scenario
    ):
        async def scenario(deployment):
            with open_relays() as relays:
                first, _ = await start_hosts(deployment, relays)
                for searcher in deployment.searchers.values():
                    searcher.seconds = 0.5
                request = asyncio.create_task(first.get("/read/x"))
                await wait_until_running(deployment, "single", 1)
                relays.refuse()
                await request
                await wait_for_links(first, False)
                await asyncio.sleep(0.5)
                log = (deployment.directory / "host-1.log").read_text()
                assert '"searcher-lost"' not in log

        run_scenario(scenario)

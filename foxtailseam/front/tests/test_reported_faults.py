"""Faults that operators of similar systems reported, brought about from outside.

Each test runs host processes on loopback and judges by what callers and searchers see.
"""

import asyncio
import signal

from foxtailseam.front.tests._cut_hosts import (
    open_relays,
    runs,
    start_cut_host,
    wait_until_running,
)
from foxtailseam.front.tests._deployment import GRACE_SECONDS, SHARDS

SLOT = ("/book/x", "POST", b"slot")


async def start_ready_host(deployment, number=1, seeds=()):
    host = await deployment.start_host(number, seeds)
    await host.wait_until_ready()
    return host


def single_searchers(deployment):
    return [s for name, s in deployment.searchers.items() if "single" in name]


async def freeze(host, seconds=1.0):
    host.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    host.process.send_signal(signal.SIGCONT)


async def start_slow_request(deployment, host, seconds):
    """Start a request that may not be repeated; return its task once it runs."""
    for searcher in single_searchers(deployment):
        searcher.seconds = seconds
    request = asyncio.create_task(host.get(*SLOT))
    await wait_until_running(deployment, "single", 1)
    return request


async def check_it_ran_once(deployment, request):
    assert (await request)[0] == 200
    assert len(runs(deployment, "single")) == 1


class TestSecondCopyOfAnAnswer:
    def test_it_does_not_answer_the_next_request_on_its_connection(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            for searcher in single_searchers(deployment):
                searcher.echoes_target = True
                searcher.seconds = 0.03
                # While the next request on the connection is being run.
                searcher.repeats_after = 0.02
            for number in range(20):
                target = f"/read/{number}"
                status, _, body = await host.get(target)
                assert (status, body) == (200, target.encode())

        run_scenario(scenario)

    def test_it_is_no_part_of_the_next_query(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            for searcher in deployment.searchers.values():
                searcher.seconds = 0.03
                searcher.repeats_after = 0.02
            for _ in range(10):
                status, headers, body = await host.get("/all/q")
                stamps = headers["foxtailseam-part-stamps"].split(", ")
                assert status == 200
                assert headers["foxtailseam-missing-parts"] == "0"
                assert len(set(stamps)) == len(stamps) == len(SHARDS)
                assert body == b"C" * 16 + b"B" * 16

        run_scenario(scenario)


class TestPlannedStopUnderLoad:
    def test_no_accepted_request_ends_without_an_answer(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            for searcher in deployment.searchers.values():
                searcher.seconds = 0.05
            statuses = []

            async def call_until_refused(path, *request):
                while True:
                    try:
                        status, _, _ = await host.get(path, *request)
                    except ConnectionRefusedError:
                        return
                    statuses.append(status)

            paths = [("/all/q",), ("/read/x",), SLOT] * 3
            callers = [asyncio.create_task(call_until_refused(*p)) for p in paths]
            await asyncio.sleep(0.5)
            host.process.send_signal(signal.SIGTERM)
            # An answer that is missing or broken off is an error of `get`.
            await asyncio.wait_for(asyncio.gather(*callers), GRACE_SECONDS)
            assert len(statuses) > len(callers)
            assert set(statuses) <= {200, 503}
            assert await asyncio.wait_for(host.process.wait(), GRACE_SECONDS) == 0

        run_scenario(scenario)


class TestRestartOfAHost:
    def test_a_drained_searcher_is_not_used_again(self, run_scenario):
        async def scenario(deployment):
            first = await start_ready_host(deployment)
            seeds = (first.listen["control_plane"],)
            second = await start_ready_host(deployment, 2, seeds)
            drained = deployment.searchers["i-single-x"]
            entry = drained.entry("single", "draining") | {"sequence": 2}
            deployment.store.put("servers/i-single-x", entry)
            await asyncio.sleep(0.6)
            deployment.store.is_unavailable = True
            before = len(drained.runs)
            second.process.kill()
            await second.process.wait()
            restarted = await start_ready_host(deployment, 3, seeds)
            for _ in range(12):
                assert (await restarted.get("/read/x"))[0] == 200
            assert len(drained.runs) == before

        run_scenario(scenario)


class TestLostAnswer:
    def test_the_work_is_neither_repeated_nor_called_not_run(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            for searcher in single_searchers(deployment):
                searcher.loses_answers = True
            for number in range(1, 6):
                status, _, _ = await host.get(*SLOT)
                assert status in (502, 504)
                assert len(runs(deployment, "single")) == number

        run_scenario(scenario)


class TestSilentMachine:
    def test_work_goes_on_while_the_searcher_is_not_listed(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            request = await start_slow_request(deployment, host, 1.5)
            for name in ("i-single-x", "i-single-y"):
                deployment.store.remove(f"servers/{name}")
            await check_it_ran_once(deployment, request)

        run_scenario(scenario)

    def test_work_goes_on_while_its_host_is_frozen(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            request = await start_slow_request(deployment, host, 0.5)
            await freeze(host)
            await check_it_ran_once(deployment, request)

        run_scenario(scenario)

    def test_forwarded_work_goes_on_while_the_helping_host_is_frozen(
        self, run_scenario
    ):
        async def scenario(deployment):
            with open_relays() as relays:
                first, second = await start_cut_host(deployment, relays)
                request = await start_slow_request(deployment, first, 0.5)
                await freeze(second)
                await check_it_ran_once(deployment, request)

        run_scenario(scenario)


class TestAnswerThatBreaksOff:
    def test_it_does_not_reach_the_caller_as_a_success(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            for searcher in single_searchers(deployment):
                searcher.breaks_off = True
            assert (await host.get(*SLOT))[0] == 502
            assert len(runs(deployment, "single")) == 1
            assert (await host.get("/read/x"))[0] == 502

        run_scenario(scenario)

    def test_its_shard_is_named_missing(self, run_scenario):
        async def scenario(deployment):
            host = await start_ready_host(deployment)
            for name, searcher in deployment.searchers.items():
                searcher.breaks_off = SHARDS[0] in name
            status, headers, body = await host.get("/all/q")
            assert status == 200
            assert headers["foxtailseam-missing-parts"] == "1"
            stamps = headers["foxtailseam-part-stamps"].split(", ")
            assert len(stamps) == len(SHARDS) - 1
            assert body == b"C" * 16 + b"B" * 16

        run_scenario(scenario)

"""Tests of the memory that a host process takes while others fill its buffers."""

import asyncio
from collections import Counter
from pathlib import Path
from types import MethodType

from foxtailseam.front.tests._cut_hosts import runs
from foxtailseam.front.tests._deployment import gather_route, single_route

# Memory limit of the hosts' settings.
MEMORY_MB = 300
ANSWER_BYTES = 7_000_000
REQUEST_BODY = b"b" * 250_000
LOAD_SECONDS = 6.0
ENDLESS_HEADS = 4


def peak_memory_mb(host):
    lines = Path(f"/proc/{host.process.pid}/status").read_text().splitlines()
    (peak,) = [line for line in lines if line.startswith("VmHWM")]
    return int(peak.split()[1]) / 1000


def request(host, path, body):
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"Foxtailseam-Request-Id: {host.next_id()}\r\n"
        f"Foxtailseam-Deadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def send_again_and_again(host, path, statuses, body=b"", unread=0):
    """Send requests one after the other; or some at once, and read no response."""
    address, _, port = host.listen["frontend"].rpartition(":")
    while True:
        reader, writer = await asyncio.open_connection(address, int(port))
        try:
            writer.write(request(host, path, body) * max(1, unread))
            if unread:
                await asyncio.sleep(LOAD_SECONDS)
                continue
            async with asyncio.timeout(4):
                status_line = await reader.readline()
                statuses[status_line.split()[1]] += 1
                while b"content-length" not in (await reader.readline()).lower():
                    pass
                await asyncio.sleep(0.05)
        except (OSError, TimeoutError, IndexError):
            statuses["none"] += 1
        finally:
            writer.transport.abort()


class TestMemory:
    def test_large_answers_and_callers_that_do_not_read_stay_within_the_limit(
        self, run_scenario
    ):
        async def scenario(deployment):
            deployment.configure(gather_route(), single_route("read", "idempotent"))
            for searcher in deployment.searchers.values():
                searcher.records = b"r" * ANSWER_BYTES
                searcher.seconds = 0.03
            host = await deployment.start_host(1)
            await host.wait_until_ready()
            statuses = Counter()
            load = [
                *(send_again_and_again(host, "/all/x", statuses) for _ in range(12)),
                *(
                    send_again_and_again(host, "/read/x", statuses, unread=6)
                    for _ in range(30)
                ),
                *(
                    send_again_and_again(host, "/read/y", statuses, REQUEST_BODY)
                    for _ in range(30)
                ),
            ]
            tasks = [asyncio.create_task(item) for item in load]
            await asyncio.sleep(LOAD_SECONDS)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert peak_memory_mb(host) < MEMORY_MB
            assert statuses[b"200"] >= 3
            # It serves on.
            for searcher in deployment.searchers.values():
                searcher.records = b"r" * 64
            assert (await host.get("/read/x"))[0] == 200
            assert (await host.metrics())["buffered_searcher_bytes"] == 0

        run_scenario(scenario)


async def send_endless_head(searcher, _reader, writer, request, _headers):
    searcher.runs.append(request)
    writer.write(b"HTTP/1.1 200 OK\r\n")
    while True:
        writer.write(b"x-a: b\r\n" * 2_048)
        await writer.drain()


class TestEndlessHeads:
    # Guards against: responses whose head has no end take a host's process over its
    # memory limit, so that the platform kills it with all requests in progress.
    def test_they_do_not_take_a_host_over_its_memory_limit(self, run_scenario):
        async def scenario(deployment):
            for name, searcher in deployment.searchers.items():
                if "single" in name:
                    searcher._run = MethodType(send_endless_head, searcher)
            host = await deployment.start_host(1)
            await host.wait_until_ready()
            calls = (host.get("/book/x", "POST", b"slot") for _ in range(ENDLESS_HEADS))
            answers = await asyncio.gather(*calls, return_exceptions=True)
            assert peak_memory_mb(host) < MEMORY_MB
            assert [answer[0] for answer in answers] == [502] * ENDLESS_HEADS
            assert (await host.get("/all/x"))[0] == 200

        run_scenario(scenario)

    # Guards against: the same, seen by its caller as a request that hangs.
    def test_they_fail_as_answers_that_may_have_run(self, run_scenario):
        async def scenario(deployment):
            single = [s for name, s in deployment.searchers.items() if "single" in name]
            for searcher in single:
                searcher._run = MethodType(send_endless_head, searcher)
            host = await deployment.start_host(1)
            await host.wait_until_ready()
            assert (await host.get("/book/x", "POST", b"slot"))[0] == 502
            assert len(runs(deployment, "single")) == 1
            # Idempotent, so that the other searcher is asked, too.
            assert (await host.get("/read/x"))[0] == 502
            assert len(runs(deployment, "single")) == 3
            for searcher in single:
                del searcher._run
            assert (await host.get("/read/x"))[0] == 200
            assert peak_memory_mb(host) < 60

        run_scenario(scenario)

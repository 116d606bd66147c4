"""Measures what the calls of a query to all shards cost a host, on loopback."""

import asyncio
import pstats
import random
import signal
import statistics
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from foxtailseam_bench.platform_deployment import PlatformDeployment, PlatformHost

PATH = "/all/q"
GOAL_MS = 5_000
# Service times of the searchers, in seconds, so that answers do not come all at once.
MIN_SERVICE_SECONDS = 0.001
MAX_SERVICE_SECONDS = 0.02
RECORDS = bytes(range(16)) * 60
REPLICAS = 2
# The hosts settle for this long after their start, and after the first query.
SETTLE_SECONDS = 1.0
IDLE_SECONDS = 5.0
PROFILED_FUNCTIONS = 30
PROFILE_STOP_SECONDS = 10.0


@dataclass(frozen=True)
class GatherCost:
    """Processor time of one host process, in milliseconds of a whole core.

    Parameters
    ----------
    shards : int
        Number of shards of each query.
    start_ms : float
        From the start of the process until it is ready; median of several starts.
    first_ms : float
        First query of a process, which opens all connections; median.
    warm_ms : float
        Each further query; mean.
    idle_ms : float
        Each second without a query.
    """

    shards: int
    start_ms: float
    first_ms: float
    warm_ms: float
    idle_ms: float

    @property
    def warm_call_ms(self) -> float:
        """Return the cost of one shard call of a warm query."""
        return self.warm_ms / self.shards

    @property
    def first_factor(self) -> float:
        """Return how many times a warm query a first one costs."""
        return self.first_ms / self.warm_ms


def measure_gather(shards: int, queries: int, starts: int, seed: int) -> GatherCost:
    """Measure queries to `shards` shards.

    Parameters
    ----------
    shards : int
        Number of shards, each with two searchers.
    queries : int
        Number of warm queries, sent one after the other.
    starts : int
        Number of processes that are started in turn.
    seed : int
        Seed of the searchers' service times.
    """
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(
            _measure_gather(Path(directory), shards, queries, starts, seed)
        )


def measure_idle(hosts: int) -> float:
    """Return the processor time of an idle host in a fleet, in ms for each second.

    Parameters
    ----------
    hosts : int
        Number of hosts in the fleet.
    """
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_measure_idle(Path(directory), hosts))


def profile_gather(shards: int, queries: int, seed: int) -> str:
    """Return the functions that take most of a host's time, as a table of text.

    The profiler adds to the cost of each function call.

    Parameters
    ----------
    shards : int
        Number of shards, each with two searchers.
    queries : int
        Number of queries, the first one included.
    seed : int
        Seed of the searchers' service times.
    """
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "profile"
        asyncio.run(_profile(Path(directory), path, shards, queries, seed))
        with (Path(directory) / "report").open("w") as report:
            statistics_of_run = pstats.Stats(str(path), stream=report)
            statistics_of_run.strip_dirs().sort_stats("tottime")
            statistics_of_run.print_stats(PROFILED_FUNCTIONS)
        return (Path(directory) / "report").read_text()


def cost_table(costs: Iterable[GatherCost]) -> str:
    """Return the costs as a Markdown table."""
    lines = [
        "| shards | start ms | first query ms | warm query ms | warm shard call ms |"
        " first / warm | idle ms a second |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {cost.shards} | {cost.start_ms:.0f} | {cost.first_ms:.1f} |"
        f" {cost.warm_ms:.1f} | {cost.warm_call_ms:.3f} | {cost.first_factor:.1f} |"
        f" {cost.idle_ms:.1f} |"
        for cost in costs
    ]
    return "\n".join(lines)


def idle_table(idle: Iterable[tuple[int, float]]) -> str:
    """Return pairs of hosts and idle ms a second as a Markdown table."""
    lines = ["| hosts | idle ms a second |", "| --- | --- |"]
    lines += [f"| {hosts} | {idle_ms:.1f} |" for hosts, idle_ms in idle]
    return "\n".join(lines)


async def start_shards(
    deployment: PlatformDeployment, shards: int, generator: random.Random
) -> None:
    """Start the configuration service and the searchers, and publish a route."""
    await deployment.start_store()
    services = [f"shard-{number}" for number in range(shards)]
    for service in services:
        for replica in range(REPLICAS):
            name = f"i-{service}-{replica}"
            await deployment.add_searcher(name, service, RECORDS)
            deployment.searchers[name].seconds = generator.uniform(
                MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS
            )
    route = {
        "name": "all",
        "host": "a.example",
        "path_prefix": "/all/",
        "type": "idempotent",
        "timeout_ms": 2 * GOAL_MS,
        "latency_goal_ms": GOAL_MS,
        "max_attempts": 2,
        "priority": 1,
        "gather": services,
        "top_k": 50,
        "min_version": 0.9,
    }
    deployment.publish(services, [route])


async def ask_all(host: PlatformHost) -> None:
    """Send a query; an answer that lacks shards is an error."""
    status, headers, _ = await host.get(PATH, deadline_ms=2 * GOAL_MS)
    if status != 200 or headers.get("foxtailseam-missing-parts", "0") != "0":
        raise RuntimeError(f"a query was answered with {status}, {headers}")


async def _processor_ms(host: PlatformHost) -> float:
    return 1000 * (await host.metrics())["processor_seconds"]


async def _measure_gather(
    directory: Path, shards: int, queries: int, starts: int, seed: int
) -> GatherCost:
    deployment = PlatformDeployment(directory)
    try:
        await start_shards(deployment, shards, random.Random(seed))
        start_costs, first_costs = [], []
        for _ in range(starts):
            host = await deployment.start_host()
            await host.wait_until_ready()
            start_costs.append(await _processor_ms(host))
            idle_ms = await _idle_ms(host, SETTLE_SECONDS)
            first_costs.append(await _query_ms(host, 1, idle_ms))
            if len(start_costs) < starts:
                host.process.kill()
                await host.process.wait()
        await asyncio.sleep(SETTLE_SECONDS)
        idle_ms = await _idle_ms(host, IDLE_SECONDS)
        warm_ms = await _query_ms(host, queries, idle_ms)
    finally:
        await deployment.stop()
    return GatherCost(
        shards,
        statistics.median(start_costs),
        statistics.median(first_costs),
        warm_ms,
        idle_ms,
    )


async def _idle_ms(host: PlatformHost, seconds: float) -> float:
    """Return the processor time that the idle host uses each second, in ms."""
    before = await _processor_ms(host)
    await asyncio.sleep(seconds)
    return (await _processor_ms(host) - before) / seconds


async def _query_ms(host: PlatformHost, queries: int, idle_ms: float) -> float:
    """Return the processor time of a query in ms, less that of an idle host."""
    loop = asyncio.get_running_loop()
    before, started_at = await _processor_ms(host), loop.time()
    for _ in range(queries):
        await ask_all(host)
    # Requests in flight that the answer did not wait for still cost time.
    await asyncio.sleep(MAX_SERVICE_SECONDS)
    elapsed = loop.time() - started_at
    used = await _processor_ms(host) - before - idle_ms * elapsed
    return used / queries


async def _measure_idle(directory: Path, hosts: int) -> float:
    deployment = PlatformDeployment(directory)
    try:
        await start_shards(deployment, 1, random.Random(0))
        first = await deployment.start_host(1)
        seeds = (first.listen["control_plane"],)
        fleet = [first]
        for number in range(2, hosts + 1):
            fleet.append(await deployment.start_host(number, seeds))
        for host in fleet:
            await host.wait_until_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        shares = await asyncio.gather(*(_idle_ms(host, IDLE_SECONDS) for host in fleet))
        return statistics.mean(shares)
    finally:
        await deployment.stop()


async def _profile(
    directory: Path, path: Path, shards: int, queries: int, seed: int
) -> None:
    deployment = PlatformDeployment(directory)
    try:
        await start_shards(deployment, shards, random.Random(seed))
        options = ("-m", "cProfile", "-o", str(path))
        host = await deployment.start_host(interpreter_options=options)
        await host.wait_until_ready()
        for _ in range(queries):
            await ask_all(host)
        host.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(host.process.wait(), PROFILE_STOP_SECONDS)
    finally:
        await deployment.stop()

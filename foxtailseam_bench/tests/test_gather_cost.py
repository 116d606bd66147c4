"""Bounds on the work of a shard call, counted in function calls and not in time."""

import asyncio
import json
import random
import sys
from pathlib import Path

import pytest

import foxtailseam
from foxtailseam.front import Host
from foxtailseam.platform import decode_settings
from foxtailseam_bench.gather_cost import (
    GatherCost,
    ask_all,
    cost_table,
    start_shards,
)
from foxtailseam_bench.platform_deployment import PlatformDeployment, PlatformHost

PACKAGE = str(Path(foxtailseam.__file__).parent)
SHARDS = 90
QUERIES = 10
# Function calls for a shard call. At a microsecond each they take 0.12 ms, the aim for
# a shard call of a warm query.
MAX_WARM_CALLS = 120
# A first query costs at most 1.5 times a warm one.
MAX_FIRST_CALLS = 180


class CallCounter:
    """Counts the calls of the product's functions while it is active."""

    def __init__(self):
        self.calls = 0

    def __enter__(self):
        sys.setprofile(self._count)
        return self

    def __exit__(self, *_):
        sys.setprofile(None)

    def _count(self, frame, event, _argument):
        if event == "call" and frame.f_code.co_filename.startswith(PACKAGE + "/"):
            self.calls += 1


async def count_query(client):
    with CallCounter() as counter:
        await ask_all(client)
    return counter.calls / SHARDS


async def count_calls(directory):
    """Return the function calls for a shard call: of a first and of a warm query."""
    deployment = PlatformDeployment(directory)
    await deployment.start_store()
    settings = deployment.settings()
    await start_shards(deployment, SHARDS, random.Random(1))
    settings["platform"]["address"] = deployment.store_address
    host = Host(decode_settings(json.dumps(settings).encode()).unwrap())
    running = asyncio.create_task(host.run())
    try:
        client = PlatformHost(
            None, settings["ip"], settings["listen_addrs"], deployment.next_id
        )
        await client.wait_until_ready()
        counts = [await count_query(client) for _ in range(QUERIES)]
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await deployment.stop()
    # On a busy machine a query also checks for hedges while it waits.
    return counts[0], min(counts[1:])


class TestFunctionCalls:
    def test_a_shard_call_does_not_become_more_expensive(self, tmp_path):
        first, warm = asyncio.run(asyncio.wait_for(count_calls(tmp_path), 60))
        assert warm <= MAX_WARM_CALLS
        assert first <= MAX_FIRST_CALLS


class TestGatherCost:
    def test_table_has_the_cost_of_a_shard_call(self):
        cost = GatherCost(90, 300.0, 18.0, 9.0, 4.0)
        assert cost.warm_call_ms == pytest.approx(0.1)
        assert cost.first_factor == pytest.approx(2.0)
        assert cost_table([cost]).splitlines()[-1] == (
            "| 90 | 300 | 18.0 | 9.0 | 0.100 | 2.0 | 4.0 |"
        )

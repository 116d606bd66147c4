"""Deployment that the tests of the host process run against."""

from foxtailseam_bench.platform_deployment import PlatformDeployment

SHARDS = ("shard-a", "shard-b", "shard-c")
GRACE_SECONDS = 6.0


def gather_route(**changes):
    return {
        "name": "all",
        "host": "a.example",
        "path_prefix": "/all/",
        "type": "idempotent",
        "timeout_ms": 3000,
        "latency_goal_ms": 1000,
        "max_attempts": 2,
        "priority": 1,
        "gather": list(SHARDS),
        "top_k": 2,
        "min_version": 0.6,
    } | changes


def single_route(name, kind, **changes):
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 3000,
        "latency_goal_ms": 500,
        "max_attempts": 2,
        "priority": 1,
        "service": "single",
    } | changes


class Deployment(PlatformDeployment):
    """Three shards and a single service, with two searchers each."""

    async def start(self):
        await self.start_store()
        for number, service in enumerate((*SHARDS, "single")):
            for letter in "xy":
                name = f"i-{service}-{letter}"
                records = bytes([65 + number]) * 16 + b"odd"
                await self.add_searcher(name, service, records)
        self.configure(
            gather_route(),
            single_route("read", "idempotent"),
            single_route("book", "non_idempotent"),
        )

    def configure(self, *routes):
        self.publish((*SHARDS, "single"), routes)

"""Measures real fleets of several sizes on loopback."""

import time
from dataclasses import dataclass

import urllib3

from foxtailseam_bench._processes import wait_until
from foxtailseam_bench.arrivals import ArrivalPlan, run_arrivals
from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.plan import DeploymentPlan, FamilyPlan
from foxtailseam_bench.searcher import SearcherBehaviour
from foxtailseam_bench.slopes import Point, Slope
from foxtailseam_bench.usage import usage_of

FAMILY = "certificate-lookup"
RULES = "* deadline 2s  # Bench\n"
IDLE_SECONDS = 6.0
LOAD_SECONDS = 6.0
LOAD_RATE = 15.0
SPREADS = 5
# Only the watchers read the service, so that the peers spread the news.
QUIET_SETTINGS = {
    "log": {"level": "error"},
    "platform": {"watchers": 1, "poll_interval": "600s"},
}


@dataclass(frozen=True)
class FleetPoint:
    """An idle fleet of one size; costs are those of one process.

    Parameters
    ----------
    processes : int
        Size of the fleet.
    core_share : float
        Processor time a second, in percent of a core.
    exchanges : float
        Exchanges sent and answered a second.
    resident_mb : float
        Largest resident memory.
    spread_ms : float
        Median time from a hand-over until the last process had it.
    start_seconds : float
        From the start of a process until it was ready.
    """

    processes: int
    core_share: float
    exchanges: float
    resident_mb: float
    spread_ms: float
    start_seconds: float


def measure_fleet(hosts: int) -> FleetPoint:
    """Measure an idle fleet of entries and gathers."""
    plan = DeploymentPlan(
        (FamilyPlan(FAMILY),),
        RULES,
        hosts=hosts,
        searchers_per_process=4,
        settings=QUIET_SETTINGS,
    )
    with Deployment(plan) as deployment:
        names = _daemons(deployment)
        time.sleep(1.0)
        before, exchanged = _processor(deployment, names), _exchanges(deployment)
        time.sleep(IDLE_SECONDS)
        busy = _processor(deployment, names) - before
        exchanges = _exchanges(deployment) - exchanged
        spreads = sorted(_spread(deployment, number) for number in range(SPREADS))
        resident = max(
            usage_of(deployment.processes.pid(name)).resident_mb for name in names
        )
        start = _restart(deployment)
    count = len(names)
    return FleetPoint(
        count,
        round(100 * busy / IDLE_SECONDS / count, 2),
        round(exchanges / IDLE_SECONDS / count, 1),
        round(resident, 1),
        round(spreads[SPREADS // 2] * 1000, 1),
        round(start, 2),
    )


def measure_fan_out() -> tuple[Slope, Slope]:
    """Measure the tier's processor time for a query over its shards.

    Returns
    -------
    entry, gather : Slope
        Of the entry process, and of the gather process.
    """
    entry_points, gather_points = [], []
    for shards in (5, 10, 20):
        entry, gather = _fan_out(shards)
        entry_points.append(Point(shards, entry))
        gather_points.append(Point(shards, gather))
    return (
        Slope("serve a query in the entry", "shard", tuple(entry_points)),
        Slope("serve a query in the gather", "shard", tuple(gather_points)),
    )


def _fan_out(shards: int) -> tuple[float, float]:
    plan = DeploymentPlan(
        (FamilyPlan(FAMILY, shards=shards),),
        RULES,
        hosts=1,
        behaviour=SearcherBehaviour(service_ms=5.0),
        searchers_per_process=20,
        keep_runs=False,
        settings=QUIET_SETTINGS,
    )
    with Deployment(plan) as deployment:
        names = ["host-1-entry", "host-1-gather-0"]
        callers = [deployment.hosts[0].callers]
        load = ArrivalPlan(callers, FAMILY, LOAD_RATE, LOAD_SECONDS)
        run_arrivals(load)
        before = [_processor(deployment, [name]) for name in names]
        count = len(run_arrivals(load))
        after = [_processor(deployment, [name]) for name in names]
    entry, gather = (
        (late - early) * 1e6 / count for early, late in zip(before, after, strict=True)
    )
    return entry, gather


def _daemons(deployment: Deployment) -> list[str]:
    return [name for name in deployment.processes.names() if name.startswith("host-")]


def _processor(deployment: Deployment, names: list[str]) -> float:
    pids = (deployment.processes.pid(name) for name in names)
    return sum(usage_of(pid).processor_seconds for pid in pids)


def _exchanges(deployment: Deployment) -> int:
    total = 0
    for address in deployment.operator_addresses():
        page = urllib3.request("GET", f"http://{address}/metrics").data.decode()
        for line in page.splitlines():
            if line.startswith("foxtailseam_exchanges_"):
                total += int(line.split()[1])
    return total


def _spread(deployment: Deployment, number: int) -> float:
    line = f"* limit {number + 1}  # Bench\n"
    started = time.time()
    revision = deployment.publish_value("rules", RULES + line)
    wait_until(
        lambda: all(
            status["rules"] == revision for status in deployment.statuses().values()
        ),
        10.0,
        "the rules in force everywhere",
    )
    # The time lines tell more exactly than the polls of this function.
    return max(
        _accepted_at(address, revision) - started
        for address in deployment.operator_addresses()
    )


def _accepted_at(address: str, revision: int) -> float:
    events = urllib3.request("GET", f"http://{address}/events").json()
    return next(
        event["stamp"]["wall_ms"] / 1000
        for event in reversed(events)
        if event["name"] == "rules-accepted"
        and event["fields"]["revision"] == str(revision)
    )


def _restart(deployment: Deployment) -> float:
    host = deployment.hosts[-1]
    name = f"{host.name}-entry"
    deployment.processes.kill(name)
    started = time.monotonic()
    deployment.processes.restart(name)
    deployment.wait_ready(host)
    return time.monotonic() - started

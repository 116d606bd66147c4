"""Measures fleets of real daemons of several sizes on the loopback interface."""

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
PROPAGATION_RUNS = 5
# Only the watchers read the configuration service, so that all other processes get
# changes from their peers.
QUIET_SETTINGS = {
    "log": {"level": "error"},
    "platform": {"watchers": 1, "poll_interval": "600s"},
}


@dataclass(frozen=True)
class FleetMeasurement:
    """Measurements of an idle fleet of one size; costs are those of one process.

    Parameters
    ----------
    processes : int
        Number of entries and gathers.
    core_share : float
        Processor time, in percent of a core.
    exchanges : float
        Number of exchanges with peers, sent and answered, per second.
    resident_mb : float
        Largest resident memory of a process, in MB.
    propagation_ms : float
        Median time from the publication of rules until the last process accepted
        them, in milliseconds.
    start_seconds : float
        Time from the start of an entry until its host was ready, in seconds.
    """

    processes: int
    core_share: float
    exchanges: float
    resident_mb: float
    propagation_ms: float
    start_seconds: float


def measure_fleet(hosts: int) -> FleetMeasurement:
    """Measure an idle fleet of `hosts` entry hosts."""
    plan = DeploymentPlan(
        (FamilyPlan(FAMILY),),
        RULES,
        hosts=hosts,
        searchers_per_process=4,
        settings=QUIET_SETTINGS,
    )
    with Deployment(plan) as deployment:
        names = _daemon_names(deployment)
        time.sleep(1.0)
        before, exchanges_before = (
            _processor_seconds(deployment, names),
            _exchange_count(deployment),
        )
        time.sleep(IDLE_SECONDS)
        processor_seconds = _processor_seconds(deployment, names) - before
        exchanges = _exchange_count(deployment) - exchanges_before
        propagation_times = sorted(
            _propagation_seconds(deployment, number)
            for number in range(PROPAGATION_RUNS)
        )
        resident = max(
            usage_of(deployment.processes.pid(name)).resident_mb for name in names
        )
        start = _restart_seconds(deployment)
    count = len(names)
    return FleetMeasurement(
        count,
        round(100 * processor_seconds / IDLE_SECONDS / count, 2),
        round(exchanges / IDLE_SECONDS / count, 1),
        round(resident, 1),
        round(propagation_times[PROPAGATION_RUNS // 2] * 1000, 1),
        round(start, 2),
    )


def measure_fan_out() -> tuple[Slope, Slope]:
    """Measure the processor time of a query by its number of shards.

    Returns
    -------
    entry, gather : Slope
        Processor time of the entry process and of the gather process.
    """
    entry_points, gather_points = [], []
    for shards in (5, 10, 20):
        entry, gather = _query_microseconds(shards)
        entry_points.append(Point(shards, entry))
        gather_points.append(Point(shards, gather))
    return (
        Slope("query in the entry process", "shard", tuple(entry_points)),
        Slope("query in the gather process", "shard", tuple(gather_points)),
    )


def _query_microseconds(shards: int) -> tuple[float, float]:
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
        before = [_processor_seconds(deployment, [name]) for name in names]
        count = len(run_arrivals(load))
        after = [_processor_seconds(deployment, [name]) for name in names]
    entry, gather = (
        (end - start) * 1e6 / count for start, end in zip(before, after, strict=True)
    )
    return entry, gather


def _daemon_names(deployment: Deployment) -> list[str]:
    return [name for name in deployment.processes.names() if name.startswith("host-")]


def _processor_seconds(deployment: Deployment, names: list[str]) -> float:
    pids = (deployment.processes.pid(name) for name in names)
    return sum(usage_of(pid).processor_seconds for pid in pids)


def _exchange_count(deployment: Deployment) -> int:
    total = 0
    for address in deployment.operator_addresses():
        page = urllib3.request("GET", f"http://{address}/metrics").data.decode()
        for line in page.splitlines():
            if line.startswith("foxtailseam_exchanges_"):
                total += int(line.split()[1])
    return total


def _propagation_seconds(deployment: Deployment, number: int) -> float:
    line = f"* limit {number + 1}  # Bench\n"
    started = time.time()
    revision = deployment.publish_value("rules", RULES + line)
    wait_until(
        lambda: all(
            status["rules"] == revision for status in deployment.statuses().values()
        ),
        10.0,
        "the new rules are in force in all processes",
    )
    # The timestamps of the events are more accurate than polling the status.
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


def _restart_seconds(deployment: Deployment) -> float:
    host = deployment.hosts[-1]
    name = f"{host.name}-entry"
    deployment.processes.kill(name)
    started = time.monotonic()
    deployment.processes.restart(name)
    deployment.wait_ready(host)
    return time.monotonic() - started

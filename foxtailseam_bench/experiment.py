"""Runs experiments that compare variants of a policy under the same load.

An experiment is a YAML file; docs/experiments.md describes its format. The variants
run one after the other, each in a deployment of its own with the same arrivals.
"""

import json
import os
import subprocess
import sys
import threading
import time
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

import dacite
import yaml
from hdrh.histogram import HdrHistogram

from foxtailseam_bench.arrivals import ArrivalPlan
from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.faults import FAULTS, clear_faults
from foxtailseam_bench.plan import DeploymentPlan, FamilyPlan
from foxtailseam_bench.searcher import SearcherBehaviour
from foxtailseam_bench.usage import steal_seconds, usage_of

QUANTILES = (50.0, 90.0, 99.0, 99.9)
HISTOGRAM_MAX_US = 60_000_000
WARM_UP_SECONDS = 2.0
MAX_RUNS = 3
MAX_STEAL_SHARE = 0.004


@dataclass(frozen=True)
class Variant:
    """One policy: rules and settings added to those of the experiment."""

    name: str
    rules: str = ""
    settings: dict = field(default_factory=dict)


@dataclass(frozen=True)
class Experiment:
    """The variants to compare, their load and the faults to inject.

    Parameters
    ----------
    name : str
        Base name of the result files.
    family : FamilyPlan
        The service family that is searched.
    rules : str
        Rules of every variant.
    variants : tuple of Variant
        The policies to compare.
    hosts : int
        Number of entry hosts.
    failure_domains : tuple of str
        Names of failure domains, assigned to the hosts round-robin.
    behaviour : SearcherBehaviour
        Behaviour of every searcher outside the fault.
    loads : tuple of float
        Offered loads, as shares of the searchers' capacity.
    faults : tuple of str
        Keys of `FAULTS`, or ``calm`` for none; each variant runs with each load and
        fault.
    seconds : float
        Duration of one run.
    fault_from, fault_until : float
        Start and end of the fault, in seconds from the start of the run.
    seed : int
        Seed of the arrival times.
    """

    name: str
    family: FamilyPlan
    rules: str
    variants: tuple[Variant, ...]
    hosts: int = 6
    failure_domains: tuple[str, ...] = ("lahore", "faisalabad", "multan")
    behaviour: SearcherBehaviour = field(default_factory=SearcherBehaviour)
    loads: tuple[float, ...] = (0.6,)
    faults: tuple[str, ...] = ("calm",)
    seconds: float = 10.0
    fault_from: float = 2.0
    fault_until: float = 8.0
    seed: int = 1

    @property
    def capacity(self) -> float:
        """Return the number of searches per second that the searchers can run."""
        slots = self.family.replicas * self.family.slots
        return slots * 1000 / self.behaviour.service_ms


@dataclass(frozen=True)
class Row:
    """The result of one run; the fields are the columns of the results table.

    `p50` to `p999` are quantiles, in milliseconds, of the time from the due time of a
    search to its complete or partial answer. `complete` is the share of these answers
    that are complete, `coverage` their mean share of included shards, `refused` the
    share of searches that were refused and `cut` the number of all others.
    `goodput` is the rate of complete answers within 120 ms, per second. `extra_load` is
    the number of requests to searchers beyond one for each shard of each answer, as a
    share of the latter.
    `processor_ms` is the daemons' processor time for each search, `tier_mb` the largest
    resident memory of a daemon, and `stolen` the steal time as a share of the
    processors' time.
    """

    variant: str
    load: float
    fault: str
    searches: int
    p50: float
    p90: float
    p99: float
    p999: float
    complete: float
    coverage: float
    refused: float
    cut: int
    goodput: float
    extra_load: float
    processor_ms: float
    tier_mb: float
    stolen: float


def load_experiment(path: Path) -> Experiment:
    """Read an experiment from a YAML file; unknown keys are an error."""
    document = yaml.safe_load(path.read_text())
    return dacite.from_dict(
        Experiment, document, dacite.Config(cast=[tuple], strict=True)
    )


def run_experiment(experiment: Experiment) -> list[Row]:
    """Run every combination of fault, load and variant; print and return the rows.

    The variants of one fault and load run directly after each other.
    """
    rows = []
    for fault in experiment.faults:
        for load in experiment.loads:
            for variant in experiment.variants:
                rows.append(_run(experiment, variant, load, fault))
                print(json.dumps(asdict(rows[-1])), flush=True)
    return rows


def _run(experiment: Experiment, variant: Variant, load: float, fault: str) -> Row:
    """Run one case, up to three times while the steal time is above the limit.

    Return the row with the least steal time.
    """
    rows = []
    for _ in range(MAX_RUNS):
        rows.append(_run_once(experiment, variant, load, fault))
        if rows[-1].stolen <= MAX_STEAL_SHARE:
            break
    return min(rows, key=lambda row: row.stolen)


def _run_once(experiment: Experiment, variant: Variant, load: float, fault: str) -> Row:
    plan = DeploymentPlan(
        (experiment.family,),
        experiment.rules + variant.rules,
        hosts=experiment.hosts,
        failure_domains=experiment.failure_domains,
        behaviour=experiment.behaviour,
        searchers_per_process=10,
        keep_runs=False,
        settings={"log": {"level": "error"}, **variant.settings},
    )
    with Deployment(plan) as deployment:
        _apply_load(experiment, deployment, 0.3, WARM_UP_SECONDS, fault="calm")
        before = _tier_usage(deployment)
        received = _requests_received(deployment)
        stolen = steal_seconds()
        arrivals = _apply_load(experiment, deployment, load, experiment.seconds, fault)
        stolen = steal_seconds() - stolen
        received = _requests_received(deployment) - received
        after = _tier_usage(deployment)
    row = _result_row(
        experiment, variant, load, fault, arrivals, received, before, after
    )
    cores = os.cpu_count() or 1
    return replace(row, stolen=round(stolen / experiment.seconds / cores, 4))


def _apply_load(
    experiment: Experiment,
    deployment: Deployment,
    load: float,
    seconds: float,
    fault: str,
) -> list[dict]:
    entries = [host.callers for host in deployment.hosts]
    plan = ArrivalPlan(
        entries,
        experiment.family.name,
        load * experiment.capacity,
        seconds,
        experiment.seed,
    )
    plan_path = deployment.directory / "arrivals.json"
    result_path = deployment.directory / "arrived.json"
    plan_path.write_text(json.dumps(asdict(plan)))
    caller = subprocess.Popen(
        [
            *(sys.executable, "-m", "foxtailseam_bench.arrivals"),
            *(str(plan_path), str(result_path)),
        ]
    )
    fault_thread = threading.Thread(
        target=_inject_fault, args=(experiment, deployment, fault)
    )
    fault_thread.start()
    caller.wait()
    fault_thread.join()
    return json.loads(result_path.read_text())["arrivals"]


def _inject_fault(experiment: Experiment, deployment: Deployment, fault: str) -> None:
    if fault == "calm":
        return
    time.sleep(experiment.fault_from)
    FAULTS[fault](deployment, experiment.behaviour)
    time.sleep(experiment.fault_until - experiment.fault_from)
    clear_faults(deployment, experiment.behaviour)


def _requests_received(deployment: Deployment) -> int:
    running = (
        address
        for address in deployment.all_searchers()
        if deployment.processes.is_running(deployment.searcher_name(address))
    )
    return sum(deployment.run_log(address).received for address in running)


def _tier_usage(deployment: Deployment) -> tuple[float, float]:
    names = [
        name
        for name in deployment.processes.names()
        if name.startswith("host-") and deployment.processes.is_running(name)
    ]
    usages = [usage_of(deployment.processes.pid(name)) for name in names]
    seconds = sum(usage.processor_seconds for usage in usages)
    return seconds, max(usage.resident_mb for usage in usages)


def _result_row(
    experiment: Experiment,
    variant: Variant,
    load: float,
    fault: str,
    arrivals: list[dict],
    received: int,
    before: tuple[float, float],
    after: tuple[float, float],
) -> Row:
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
    answered = [item for item in arrivals if item["outcome"] in ("complete", "partial")]
    for item in answered:
        histogram.record_value(max(1, int(item["latency_ms"] * 1000)))
    quantiles = [
        round(histogram.get_value_at_percentile(share) / 1000, 1) for share in QUANTILES
    ]
    complete = [item for item in answered if item["outcome"] == "complete"]
    refused = sum(item["outcome"] == "refused" for item in arrivals)
    in_time = sum(item["latency_ms"] <= 120 for item in complete)
    shards = experiment.family.shards
    minimum = max(1, len(answered) * shards)
    coverage = sum(item["coverage"] for item in answered) / max(1, len(answered))
    return Row(
        variant.name,
        load,
        fault,
        len(arrivals),
        *quantiles,
        complete=round(len(complete) / max(1, len(answered)), 4),
        coverage=round(coverage, 5),
        refused=round(refused / len(arrivals), 4),
        cut=len(arrivals) - len(answered) - refused,
        goodput=round(in_time / experiment.seconds, 1),
        extra_load=round(received / minimum - 1, 4),
        processor_ms=round((after[0] - before[0]) * 1000 / len(arrivals), 1),
        tier_mb=round(after[1], 1),
        stolen=0.0,
    )


def write_table(rows: list[Row], path: Path) -> None:
    """Write the rows as a Markdown table to a file."""
    names = list(asdict(rows[0]))
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    for row in rows:
        cells = [str(value) for value in asdict(row).values()]
        lines.append("| " + " | ".join(cells) + " |")
    path.write_text("\n".join(lines) + "\n")


def write_plot(rows: list[Row], path: Path) -> None:
    """Plot p99 and the share of complete answers by load, one column for each fault."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as pyplot

    faults = list(dict.fromkeys(row.fault for row in rows))
    variants = list(dict.fromkeys(row.variant for row in rows))
    figure, panels = pyplot.subplots(
        2, len(faults), figsize=(3.2 * len(faults) + 1, 6), squeeze=False, sharex=True
    )
    for column, fault in enumerate(faults):
        for variant in variants:
            chosen = [r for r in rows if (r.fault, r.variant) == (fault, variant)]
            loads = [row.load for row in chosen]
            panels[0][column].plot(loads, [r.p99 for r in chosen], "o-", label=variant)
            panels[1][column].plot(loads, [r.complete for r in chosen], "o-")
        panels[0][column].set_title(fault, fontsize=9)
        panels[0][column].axhline(120, color="grey", linewidth=0.5)
        panels[1][column].set_xlabel("offered load / capacity")
    panels[0][0].set_ylabel("p99 latency (ms)")
    panels[1][0].set_ylabel("share of complete answers")
    panels[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)

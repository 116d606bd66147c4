"""Measures costs and extrapolates them to the target load for docs/CAPACITY.md."""

import string
from dataclasses import dataclass
from pathlib import Path

from foxtailseam_bench.fleet import FleetMeasurement, measure_fan_out, measure_fleet
from foxtailseam_bench.slopes import Slope, measure_slopes

TEMPLATE = Path(__file__).with_name("capacity_page.md")
FLEET_SIZES = (2, 6, 12)


@dataclass(frozen=True)
class Target:
    """The load and size that the tier must support in two years, and its limits.

    Parameters
    ----------
    hosts, searchers, failure_domains : int
        Numbers of hosts, of searchers and of failure domains.
    queries : int
        Queries per second of the whole fleet.
    fan_out : int
        Searchers that each query is sent to.
    changes_a_day, restarts_a_day : int
        Changes of the configuration, and starts of hosts.
    core_share, memory_mb, kilobytes_a_second : float
        Limits of each host for control, in percent of a core, MB and KB/s.
    reads : int
        Reads per second that the configuration service supports.
    processes_per_host : int
        Daemons of each host.
    rules : int
        Lines of the rules file.
    """

    hosts: int = 6_700
    searchers: int = 30_000
    queries: int = 840_000
    fan_out: int = 1_100
    failure_domains: int = 10
    changes_a_day: int = 5_400
    restarts_a_day: int = 11_170
    core_share: float = 3.1
    memory_mb: float = 32.0
    kilobytes_a_second: float = 25.0
    reads: int = 2_000
    processes_per_host: int = 2
    rules: int = 10_000


DAY_SECONDS = 86_400
CORES = 8
MAX_VALUE_KILOBYTES = 1_000


def write_page(path: Path) -> None:
    """Measure all costs and write the capacity page to `path`."""
    slopes = measure_slopes()
    entry, gather = measure_fan_out()
    fleets = [measure_fleet(hosts) for hosts in FLEET_SIZES]
    template = string.Template(TEMPLATE.read_text())
    figures = derive_figures(Target(), slopes, entry, gather, fleets)
    tables = {
        "slopes": slope_table([*slopes.values(), entry, gather]),
        "fleets": fleet_table(fleets),
    }
    path.write_text(template.substitute(figures | tables))


def slope_table(slopes: list[Slope]) -> str:
    """Return the measured points of all slopes as a Markdown table."""
    lines = [
        "| operation | size | processor time, µs | bytes | memory, KB | µs per unit |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for slope in slopes:
        for point in slope.points:
            lines.append(
                f"| {slope.name} | {point.size:,} {slope.unit}s | "
                f"{point.microseconds:,.0f} | {point.bytes or '-'} | "
                f"{point.memory_kb or 0:,.0f} | {slope.per_unit:,.2f} |"
            )
    return "\n".join(lines)


def fleet_table(fleets: list[FleetMeasurement]) -> str:
    """Return the measured fleets as a Markdown table, one row for each."""
    lines = [
        "| processes | % of a core per process | exchanges/s per process | "
        "memory per process, MB | propagation of a change, ms | restart, s |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines.extend(
        f"| {fleet.processes} | {fleet.core_share} | {fleet.exchanges} | "
        f"{fleet.resident_mb} | {fleet.propagation_ms} | {fleet.start_seconds} |"
        for fleet in fleets
    )
    return "\n".join(lines)


def derive_figures(
    target: Target,
    slopes: dict[str, Slope],
    entry: Slope,
    gather: Slope,
    fleets: list[FleetMeasurement],
) -> dict[str, str]:
    """Return the figures of the capacity page, extrapolated to the target.

    Parameters
    ----------
    target : Target
        Load, size and limits.
    slopes : dict of str to Slope
        As `measure_slopes` returns them.
    entry, gather : Slope
        Processor time of a query in each process, by shards.
    fleets : list of FleetMeasurement
        Idle fleets; the last one must be the largest.

    Returns
    -------
    dict of str to str
        Formatted figures by their placeholder in the template.
    """
    return (
        _data_path(target, slopes, entry, gather)
        | _control(target, slopes, fleets)
        | _published_values(target, slopes, fleets[-1].resident_mb)
    )


def _data_path(
    target: Target, slopes: dict[str, Slope], entry: Slope, gather: Slope
) -> dict[str, str]:
    queries = target.queries / target.hosts
    sub_requests = queries * target.fan_out
    gather_cores = sub_requests * gather.per_unit / 1e6
    entry_cores = queries * (entry.fixed + entry.per_unit * target.fan_out) / 1e6
    merge_ms = slopes["merge"].per_unit * target.fan_out / 1e3
    # Expected number of distinct gathers that own the shards of a query.
    owners = target.hosts * (1 - (1 - 1 / target.hosts) ** target.fan_out)
    coding_us = slopes["batch"].fixed + slopes["batch"].per_unit
    tree_width = target.fan_out**0.5
    tree_us = tree_width * (
        slopes["batch"].fixed + tree_width * slopes["batch"].per_unit
    )
    return {
        "queries": f"{queries:,.0f}",
        "sub_requests": f"{sub_requests:,.0f}",
        "sub_us": f"{gather.per_unit:,.0f}",
        "gather_cores": f"{gather_cores:,.0f}",
        "gather_factor": f"{gather_cores / CORES:,.0f}",
        "flat_ratio": f"{owners / (2 * tree_width):,.0f}",
        "entry_us": f"{entry.per_unit:,.0f}",
        "entry_cores": f"{entry_cores:,.1f}",
        "merge_ms": f"{merge_ms:,.2f}",
        "merge_cores": f"{merge_ms * queries / 1e3:,.2f}",
        "owners": f"{owners:,.0f}",
        "flat_messages": f"{owners * queries:,.0f}",
        "flat_coding_cores": f"{owners * queries * coding_us / 1e6:,.1f}",
        "tree_width": f"{tree_width:,.0f}",
        "tree_messages": f"{2 * tree_width * queries:,.0f}",
        "tree_coding_cores": f"{tree_us * queries / 1e6:,.2f}",
        "searcher_rate": f"{target.queries * target.fan_out / target.searchers:,.0f}",
    }


def _control(
    target: Target, slopes: dict[str, Slope], fleets: list[FleetMeasurement]
) -> dict[str, str]:
    largest = fleets[-1]
    processes = target.hosts * target.processes_per_host
    exchange_bytes = slopes["exchange"].points[0].bytes
    bytes_a_second = largest.exchanges * 2 * exchange_bytes * target.processes_per_host
    polls = processes * 3
    # The fleet is limited to 200 reads/s.
    interval = polls / 200
    watchers = 2 * target.failure_domains * 3
    # In each round, every process that has the change passes it to four others.
    hops, reached = 0, 1
    while reached < processes:
        reached *= 5
        hops += 1
    measured_hops = 2
    hop_ms = largest.propagation_ms / measured_hops
    rendezvous = slopes["rendezvous"]
    order_ms = (rendezvous.fixed + rendezvous.per_unit * target.hosts) / 1e3
    return {
        "processes": f"{processes:,}",
        "control_core": f"{largest.core_share * target.processes_per_host:.1f}",
        "control_kb": f"{bytes_a_second / 1e3:.1f}",
        "exchange_bytes": f"{exchange_bytes}",
        "poll_interval": f"{interval:,.0f}",
        "watchers": f"{watchers}",
        "hops": f"{hops}",
        "hop_ms": f"{hop_ms:.0f}",
        "spread_ms": f"{hops * hop_ms:.0f}",
        "order_ms": f"{order_ms:.1f}",
        "order_factor": f"{_order_core_share(target, order_ms) / 3.1:,.0f}",
        "order_all_s": f"{order_ms * target.searchers / 2 / 1e3:,.0f}",
        "resident_mb": f"{largest.resident_mb:.0f}",
    }


def _order_core_share(target: Target, order_ms: float) -> float:
    """Return the processor time of ordering all shards' owners, in percent of a core.

    `order_ms` is the time for one shard. The orders are recomputed after each change of
    the list of hosts; each restart makes two.
    """
    changes = 2 * target.restarts_a_day / DAY_SECONDS
    shards = target.searchers / 2
    return order_ms * shards * changes / 10


def _published_values(
    target: Target, slopes: dict[str, Slope], resident_mb: float
) -> dict[str, str]:
    rules, hosts = slopes["rules"], slopes["hosts"]
    snapshots, difference = slopes["snapshots"], slopes["difference"]
    changes = target.changes_a_day / DAY_SECONDS
    restarts = target.restarts_a_day / DAY_SECONDS
    rules_kb = rules.bytes_per_unit * target.rules / 1e3
    hosts_kb = hosts.bytes_per_unit * target.hosts / 1e3
    snapshots_kb = snapshots.bytes_per_unit * target.searchers / 1e3
    state_mb = (
        rules.memory_per_unit * target.rules
        + hosts.memory_per_unit * target.hosts
        + snapshots.memory_per_unit * target.searchers
    ) / 1024
    host_changes = 2 * restarts
    hosts_ms = (hosts.fixed + hosts.per_unit * target.hosts) / 1e3
    adopt_ms = (difference.fixed + difference.per_unit) / 1e3
    return {
        "rules_kb": f"{rules_kb:,.0f}",
        "rules_whole_kbs": f"{rules_kb * changes:,.1f}",
        "difference_bytes": f"{difference.points[0].bytes:,}",
        "difference_kbs": f"{difference.points[0].bytes * changes / 1e3:,.3f}",
        "adopt_ms": f"{adopt_ms:,.0f}",
        "adopt_core": f"{adopt_ms * changes / 10:,.1f}",
        "hosts_kb": f"{hosts_kb:,.0f}",
        "hosts_factor": f"{hosts_kb * host_changes / target.kilobytes_a_second:.1f}",
        "hosts_kbs": f"{hosts_kb * host_changes:,.0f}",
        "hosts_ms": f"{hosts_ms:,.1f}",
        "hosts_core": f"{hosts_ms * host_changes / 10:,.2f}",
        "snapshots_factor": f"{snapshots_kb / MAX_VALUE_KILOBYTES:.1f}",
        "snapshots_kb": f"{snapshots_kb:,.0f}",
        "memory_factor": f"{(resident_mb + state_mb) / target.memory_mb:.1f}",
        "state_mb": f"{state_mb:,.1f}",
        "host_changes": f"{host_changes:.2f}",
        "join_mb": f"{(rules_kb + hosts_kb + snapshots_kb) / 1e3:,.1f}",
        "join_kbs": (
            f"{(rules_kb + hosts_kb + snapshots_kb) * 7 * restarts / target.hosts:.2f}"
        ),
    }

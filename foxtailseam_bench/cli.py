"""Command line of the benchmarks."""

import sys
from pathlib import Path

import fire

from foxtailseam_bench.capacity import write_page
from foxtailseam_bench.demo import main as run_demo
from foxtailseam_bench.experiment import (
    load_experiment,
    run_experiment,
    write_plot,
    write_table,
)
from foxtailseam_bench.gather_cost import (
    cost_table,
    idle_table,
    measure_gather,
    measure_idle,
    profile_gather,
)
from foxtailseam_bench.shared_slowness import SIZES, VARIANTS, compare


class Bench:
    """Commands that run real daemons on the loopback interface."""

    def demo(self) -> None:
        """Run a demonstration on a small deployment."""
        run_demo()

    def capacity(self, page: str = "docs/CAPACITY.md") -> None:
        """Measure how costs grow with size and write the capacity page.

        Parameters
        ----------
        page : str
            File to write, in Markdown.
        """
        write_page(Path(page))

    def gather(
        self,
        shards: int | tuple[int, ...] = (20, 90, 225),
        hosts: int | tuple[int, ...] = (1, 4, 8),
        queries: int = 100,
        starts: int = 5,
        seed: int = 1,
        profile: bool = False,
    ) -> None:
        """Measure the processor time of queries to all shards on one host.

        Parameters
        ----------
        shards : int or tuple of int
            Numbers of shards to measure.
        hosts : int or tuple of int
            Numbers of hosts among which an idle host is measured; empty for none.
        queries : int
            Number of queries after the first one, for each number of shards.
        starts : int
            Number of processes that are started for each number of shards.
        seed : int
            Seed of the searchers' service times.
        profile : bool
            Whether to print which functions take most time, too.
        """
        shard_counts = _as_tuple(shards)
        host_counts = _as_tuple(hosts)
        costs = [measure_gather(n, queries, starts, seed) for n in shard_counts]
        print(cost_table(costs))
        if host_counts:
            print(idle_table((n, measure_idle(n)) for n in host_counts))
        if profile:
            print(profile_gather(max(shard_counts), queries, seed))

    def slowness(
        self,
        hosts: int | tuple[int, ...] = tuple(SIZES),
        seeds: int | tuple[int, ...] = (1, 2, 3),
        variants: str | tuple[str, ...] = VARIANTS,
        processes: int = 2,
    ) -> None:
        """Simulate slow searchers at hosts that have few queries each.

        Parameters
        ----------
        hosts : int or tuple of int
            Numbers of hosts, 73 or 195.
        seeds : int or tuple of int
            Seeds, one for each play of a variant.
        variants : str or tuple of str
            ``today``, ``oracle`` and ``tenth``.
        processes : int
            Number of plays that run at the same time.
        """
        chosen = (variants,) if isinstance(variants, str) else tuple(variants)
        print(compare(_as_tuple(hosts), _as_tuple(seeds), chosen, processes))

    def experiment(self, path: str, results: str = "results") -> None:
        """Run an experiment and write its results as a table and a plot.

        Parameters
        ----------
        path : str
            The experiment's YAML file.
        results : str
            Directory for the results; created if it does not exist.
        """
        experiment = load_experiment(Path(path))
        rows = run_experiment(experiment)
        directory = Path(results)
        directory.mkdir(exist_ok=True)
        write_table(rows, directory / f"{experiment.name}.md")
        write_plot(rows, directory / f"{experiment.name}.png")


def _as_tuple(numbers: int | tuple[int, ...]) -> tuple[int, ...]:
    return (numbers,) if isinstance(numbers, int) else tuple(numbers)


def main() -> None:
    """Run the command line."""
    fire.Fire(Bench, name="foxtailseam-bench")


if __name__ == "__main__":
    sys.exit(main())

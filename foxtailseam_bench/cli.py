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


def main() -> None:
    """Run the command line."""
    fire.Fire(Bench, name="foxtailseam-bench")


if __name__ == "__main__":
    sys.exit(main())

"""Command line of the bench."""

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
    """Experiments with real daemons on loopback."""

    def demo(self) -> None:
        """Run the demonstration."""
        run_demo()

    def capacity(self, page: str = "docs/CAPACITY.md") -> None:
        """Measure the slopes and write the page of capacity.

        Parameters
        ----------
        page : str
            Where to write it.
        """
        write_page(Path(page))

    def experiment(self, path: str, results: str = "results") -> None:
        """Run an experiment; write its table and plot.

        Parameters
        ----------
        path : str
            The experiment's YAML file.
        results : str
            Directory of the results.
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

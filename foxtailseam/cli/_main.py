"""Entry point of the command line, on fire."""

import sys

import fire

from foxtailseam._version import __version__
from foxtailseam.cli._commands import Commands
from foxtailseam.cli._exit_codes import ExitCode


def main(arguments: list[str] | None = None) -> int:
    """Run the command line; return its exit code."""
    words = sys.argv[1:] if arguments is None else arguments
    if words == ["--version"]:
        print(__version__)
        return ExitCode.DONE
    code = fire.Fire(Commands, words, "foxtailseam", serialize=lambda _: None)
    return int(code) if isinstance(code, int) else ExitCode.DONE

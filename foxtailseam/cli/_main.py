"""Entry point of the command-line interface, based on Python Fire."""

import sys

import fire

from foxtailseam._version import __version__
from foxtailseam.cli._commands import Commands
from foxtailseam.cli._exit_codes import ExitCode


def main(arguments: list[str] | None = None) -> int:
    """Run a command.

    Parameters
    ----------
    arguments : list of str, optional
        Command-line arguments without the program name; by default `sys.argv`.

    Returns
    -------
    int
        The exit code, a value of `ExitCode`.
    """
    command_line = sys.argv[1:] if arguments is None else arguments
    if command_line == ["--version"]:
        print(__version__)
        return ExitCode.DONE
    code = fire.Fire(Commands, command_line, "foxtailseam", serialize=lambda _: None)
    return int(code) if isinstance(code, int) else ExitCode.DONE

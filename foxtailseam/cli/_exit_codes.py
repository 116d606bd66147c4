"""Exit codes of the commands, documented in docs/command-line.md."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    INVALID_INPUT = 1
    USAGE = 2
    NOT_REACHED = 3
    NOT_COMPLETE = 4
    DRAIN_CUT = 5

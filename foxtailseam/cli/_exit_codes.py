"""Exit codes; docs/command-line.md lists them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    INVALID_INPUT = 1
    USAGE = 2
    NOT_REACHED = 3
    NOT_COMPLETE = 4
    DRAIN_CUT = 5

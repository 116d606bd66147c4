"""Exit codes of the process of a host."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Why a process ended; docs/OPERATIONS.md explains them to operators."""

    STOPPED = 0
    FAILED = 1
    USAGE = 2
    PACKAGE_MISSING = 10
    SETTINGS_INVALID = 11
    ADDRESS_UNAVAILABLE = 12
    LOOP_STUCK = 13

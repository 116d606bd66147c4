"""Exit codes of the process of a host."""

import os
from enum import IntEnum


class ExitCode(IntEnum):
    """Why a process ended; docs/OPERATIONS.md explains them to operators."""

    STOPPED = 0
    FAILED = 1
    USAGE = 2
    SETTINGS_INVALID = 11
    ADDRESS_UNAVAILABLE = 12
    LOOP_STUCK = 13
    PACKAGE_MISSING = os.EX_CONFIG

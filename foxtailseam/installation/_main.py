"""Command that builds the installation and says what it did."""

import os
import sys
from pathlib import Path

from foxtailseam.installation._builder import (
    Built,
    Failed,
    Kept,
    TargetBuilder,
    UpToDate,
)
from foxtailseam.installation._pip import install_with_pip

# Files can be read by any user, whatever the mask of the user who builds.
FILE_MODE_MASK = 0o022


def main(root: Path) -> int:
    """Build the installation of a repository and return the exit code.

    It is 0 if there is a usable installation afterwards.
    """
    os.umask(FILE_MODE_MASK)
    builder = TargetBuilder(root, install_with_pip)
    match builder.build():
        case UpToDate() | Built():
            return os.EX_OK
        case Kept(problem=problem):
            sys.stderr.write(
                f"{builder.folder}: the packages of an earlier build stay in use, "
                f"new ones could not be installed: {problem}\n"
            )
            return os.EX_OK
        case Failed(problem=problem):
            sys.stderr.write(f"{builder.folder}: no usable installation: {problem}\n")
            return os.EX_UNAVAILABLE

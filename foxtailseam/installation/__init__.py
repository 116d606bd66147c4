"""Builds the folder that a host's process is started from.

Imports nothing but the standard library: it runs before any package is installed.
"""

from foxtailseam.installation._builder import (
    Built,
    Failed,
    Kept,
    Outcome,
    TargetBuilder,
    UpToDate,
)
from foxtailseam.installation._main import main
from foxtailseam.installation._manifest import Manifest, interpreter, read_manifest
from foxtailseam.installation._pip import InstallError, install_with_pip

__all__ = [
    "Built",
    "Failed",
    "InstallError",
    "Kept",
    "Manifest",
    "Outcome",
    "TargetBuilder",
    "UpToDate",
    "install_with_pip",
    "interpreter",
    "main",
    "read_manifest",
]

"""Installs packages with pip."""

import subprocess
import sys
from pathlib import Path

TIMEOUT_SECONDS = 600
# Bytes of pip's error output that are passed on.
MAX_OUTPUT_BYTES = 2_000


class InstallError(Exception):
    """The packages could not be installed."""


def install_with_pip(requirements: Path, folder: Path) -> None:
    """Install packages with the pip of this interpreter.

    Parameters
    ----------
    requirements : Path
        File that names the packages and their releases.
    folder : Path
        Folder to install into.

    Raises
    ------
    InstallError
        If pip fails or takes too long.
    """
    command = [
        *(sys.executable, "-m", "pip", "install"),
        *("--quiet", "--no-compile", "--disable-pip-version-check", "--no-input"),
        *("--target", str(folder), "--requirement", str(requirements)),
    ]
    try:
        done = subprocess.run(
            command,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired) as error:
        raise InstallError(str(error)) from error
    if done.returncode:
        output = done.stderr[-MAX_OUTPUT_BYTES:].decode(errors="replace").strip()
        raise InstallError(f"pip ended with {done.returncode}: {output}")

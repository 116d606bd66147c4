"""Describes why the program of a host can't be imported."""

import sys
from pathlib import Path

from foxtailseam.installation import interpreter, read_manifest


def describe_import_failure(error: Exception, packages: str) -> str:
    """Return what is missing, for which interpreter, and what to do about it.

    Parameters
    ----------
    error : Exception
        What the import has raised.
    packages : str
        Folder that the packages are expected in; empty if none is known.
    """
    version = ".".join(map(str, sys.version_info[:3]))
    text = " ".join(f"{type(error).__name__}: {error}".split())
    parts = [
        f"a host can't be imported: {text}",
        f"Python {version} ({interpreter()}) at {sys.executable}",
    ]
    if packages:
        manifest = read_manifest(Path(packages))
        origin = "no complete build" if manifest is None else manifest.interpreter
        parts.append(f"packages in {packages} ({origin})")
    parts.append("run the build line of deploy/system.toml")
    return "; ".join(parts)

"""What an installation was built from, and the files that it consists of."""

import contextlib
import hashlib
import json
import platform
import sysconfig
from dataclasses import asdict, dataclass
from pathlib import Path

MANIFEST_NAME = "installation.json"
# Compiled files may be written again by any interpreter that imports the packages.
CACHE_NAME = "__pycache__"


@dataclass(frozen=True, slots=True)
class Manifest:
    """Description of an installation, kept inside its folder.

    Parameters
    ----------
    requirements : str
        Requirements that were installed, one a line.
    interpreter : str
        Interpreter and machine that the packages were installed for.
    code : str
        Digest of the source files that were copied.
    files : dict of str to int
        Size in bytes of each file, by its path relative to the folder.
    """

    requirements: str
    interpreter: str
    code: str
    files: dict[str, int]


def interpreter() -> str:
    """Return the binary interface of this interpreter, with the kind of machine."""
    tag = sysconfig.get_config_var("SOABI") or ""
    return f"{tag} {platform.machine()}"


def read_manifest(folder: Path) -> Manifest | None:
    """Return the manifest of an installation; None if it is missing or malformed."""
    try:
        return Manifest(**json.loads((folder / MANIFEST_NAME).read_bytes()))
    except (OSError, ValueError, TypeError, RecursionError):
        return None


def write_manifest(folder: Path, manifest: Manifest) -> None:
    """Write the manifest of an installation."""
    (folder / MANIFEST_NAME).write_text(json.dumps(asdict(manifest)))


def read_requirements(path: Path) -> str:
    """Return the lines of a requirements file without comments and blank lines."""
    lines = (line.partition("#")[0].strip() for line in path.read_text().splitlines())
    return "\n".join(line for line in lines if line)


def file_sizes(folder: Path) -> dict[str, int]:
    """Return the size in bytes of each file of a folder but compiled ones."""
    sizes = {}
    for path in sorted(folder.rglob("*")):
        if CACHE_NAME in path.parts or path.name == MANIFEST_NAME:
            continue
        # A file may be a link that leads nowhere.
        with contextlib.suppress(FileNotFoundError):
            if path.is_file():
                sizes[str(path.relative_to(folder))] = path.stat().st_size
    return sizes


def has_all_files(folder: Path, manifest: Manifest) -> bool:
    """Return whether each file of the manifest is there, with its size."""
    return manifest.files.items() <= file_sizes(folder).items()


def digest_files(paths: list[Path], root: Path) -> str:
    """Return a digest of the names and contents of files below a folder."""
    digest = hashlib.sha256()
    for path in sorted(paths):
        content = path.read_bytes()
        digest.update(f"{path.relative_to(root)}\0{len(content)}\0".encode())
        digest.update(content)
    return digest.hexdigest()

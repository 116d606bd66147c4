"""Builds ``target/deps``: a host's packages and a compiled copy of its code."""

import compileall
import fcntl
import py_compile
import shutil
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from foxtailseam.installation._manifest import (
    MANIFEST_NAME,
    Manifest,
    digest_files,
    file_sizes,
    has_all_files,
    interpreter,
    read_manifest,
    read_requirements,
    write_manifest,
)
from foxtailseam.installation._pip import InstallError
from foxtailseam.installation._swap import FolderSwap

CODE_NAME = "foxtailseam"
TESTS_NAME = "tests"
FOLDER = Path("target", "deps")
LOCK_NAME = "build.lock"
IMPORT_TIMEOUT_SECONDS = 60
# Modules that a host imports at its start, the second one once it serves callers.
START_MODULES = ("foxtailseam.front", "foxtailseam.fleet._rpc")
IMPORT_CHECK = f"""
import sys
sys.path.insert(0, sys.argv[1])
import {", ".join(START_MODULES)}
"""


@dataclass(frozen=True, slots=True)
class UpToDate:
    """The installation was complete and of the present sources."""


@dataclass(frozen=True, slots=True)
class Built:
    """A new installation is in place; `installed` if packages were installed."""

    installed: bool


@dataclass(frozen=True, slots=True)
class Kept:
    """Packages could not be installed; usable ones of before stay in use."""

    problem: str


@dataclass(frozen=True, slots=True)
class Failed:
    """There is no usable installation; one that was there before is unchanged."""

    problem: str


Outcome = UpToDate | Built | Kept | Failed


class TargetBuilder:
    """Builds the installation of a repository.

    A new installation is made beside the old one and replaces it once it is complete
    and can be imported.

    Parameters
    ----------
    root : Path
        Root of the repository.
    install : callable
        Installs the packages that a requirements file names into a folder; raises
        `InstallError` if it can't.
    """

    def __init__(self, root: Path, install: Callable[[Path, Path], None]):
        self.root = root
        self.install = install
        self.folder = root / FOLDER
        self._requirements_path = root / "requirements.txt"
        self._swap = FolderSwap(self.folder)

    def build(self) -> Outcome:
        """Bring the installation up to date; only one run at a time does so."""
        self.folder.parent.mkdir(parents=True, exist_ok=True)
        with _lock(self.folder.parent / LOCK_NAME):
            self._swap.recover()
            return self._build()

    def _build(self) -> Outcome:
        requirements = read_requirements(self._requirements_path)
        code = digest_files(self._sources(), self.root)
        old = read_manifest(self.folder)
        has_packages = (
            old is not None
            and (old.requirements, old.interpreter) == (requirements, interpreter())
            and has_all_files(self.folder, old)
            and _import_problem(self.folder) is None
        )
        if has_packages and old.code == code:
            return UpToDate()
        if has_packages:
            self._copy_packages()
            return self._complete(requirements, code, Built(installed=False))
        self._swap.replacement.mkdir()
        try:
            self.install(self._requirements_path, self._swap.replacement)
        except InstallError as error:
            return self._keep(code, str(error))
        return self._complete(requirements, code, Built(installed=True))

    def _keep(self, code: str, problem: str) -> Outcome:
        """Use the packages that are there, if they can be imported."""
        self._swap.recover()
        if not self.folder.exists():
            return Failed(problem)
        self._copy_packages()
        # The manifest names no requirements, so the next run installs them again.
        return self._complete("", code, Kept(problem))

    def _complete(self, requirements: str, code: str, outcome: Outcome) -> Outcome:
        """Add the code to the packages, and use them if they can be imported."""
        replacement = self._swap.replacement
        self._copy_code()
        _compile(replacement)
        problem = _import_problem(replacement)
        if problem is not None:
            self._swap.recover()
            reasons = [outcome.problem] if isinstance(outcome, Kept) else []
            return Failed("; ".join([*reasons, problem]))
        files = file_sizes(replacement)
        manifest = Manifest(requirements, interpreter(), code, files)
        write_manifest(replacement, manifest)
        self._swap.commit()
        return outcome

    def _copy_packages(self) -> None:
        shutil.copytree(
            self.folder,
            self._swap.replacement,
            copy_function=shutil.copyfile,
            ignore_dangling_symlinks=True,
            ignore=lambda folder, names: (
                [CODE_NAME, MANIFEST_NAME] if Path(folder) == self.folder else []
            ),
        )

    def _sources(self) -> list[Path]:
        code = self.root / CODE_NAME
        return [
            path
            for path in code.rglob("*.py")
            if TESTS_NAME not in path.relative_to(code).parts
        ]

    def _copy_code(self) -> None:
        for source in self._sources():
            copy = self._swap.replacement / source.relative_to(self.root)
            copy.parent.mkdir(parents=True, exist_ok=True)
            # Not the file's mode, which may exclude other users.
            shutil.copyfile(source, copy)


@contextmanager
def _lock(path: Path) -> Iterator[None]:
    """Wait until no other process holds the lock of a file, and hold it."""
    with path.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def _compile(folder: Path) -> None:
    """Compile all modules of a folder.

    The compiled files hold whatever the times of the sources are: a copy of the folder
    need not keep these.
    """
    compileall.compile_dir(
        folder,
        quiet=2,
        force=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def _import_problem(folder: Path) -> str | None:
    """Return why a host can't be imported from a folder; None if it can."""
    command = [sys.executable, "-I", "-S", "-B", "-c", IMPORT_CHECK, str(folder)]
    try:
        done = subprocess.run(
            command,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            timeout=IMPORT_TIMEOUT_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired as error:
        return str(error)
    if not done.returncode:
        return None
    lines = done.stderr.decode(errors="replace").split("\n")
    last = next((line for line in reversed(lines) if line), "")
    return f"a host can't be imported: {last or f'exit code {done.returncode}'}"

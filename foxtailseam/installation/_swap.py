"""Replaces a folder by another one so that an interruption leaves a whole one."""

import os
import shutil
from pathlib import Path


class FolderSwap:
    """Names of a folder in use, of its replacement and of its predecessor.

    Parameters
    ----------
    folder : Path
        The folder in use.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.replacement = folder.with_name(f"{folder.name}.new")
        self._predecessor = folder.with_name(f"{folder.name}.old")

    def recover(self) -> None:
        """Undo what an interrupted run has left."""
        if self._predecessor.exists() and not self.folder.exists():
            os.rename(self._predecessor, self.folder)
        _remove(self._predecessor)
        _remove(self.replacement)

    def commit(self) -> None:
        """Put the replacement in the place of the folder."""
        if self.folder.exists():
            os.rename(self.folder, self._predecessor)
        os.rename(self.replacement, self.folder)
        _remove(self._predecessor)


def _remove(folder: Path) -> None:
    if folder.is_symlink():
        folder.unlink()
    elif folder.exists():
        shutil.rmtree(folder)

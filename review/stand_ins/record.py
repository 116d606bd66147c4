"""Record of what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes a line an event, with the seconds since the start.

    Parameters
    ----------
    path : Path
        File to write; replaced if it exists.
    """

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, event: str, *values: object) -> None:
        """Write an event."""
        text = " ".join(str(value) for value in values)
        self._file.write(f"{self.seconds:.4f} {event} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()

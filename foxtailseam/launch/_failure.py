"""Logs a start that fails before the program is imported, which has the log."""

import json
import sys
import traceback
from datetime import UTC, datetime
from pathlib import Path

from foxtailseam.launch._exit_codes import ExitCode

# `EventCode.PROCESS_FAILED`, whose module may be what cannot be imported.
PROCESS_FAILED = 109
MAX_TEXT_LENGTH = 200


def log_failure(phase: str, code: ExitCode, error: Exception) -> None:
    """Write the event of a failed start to standard output.

    Parameters
    ----------
    phase : str
        What failed.
    code : ExitCode
        Exit code of the process.
    error : Exception
        Why.
    """
    frames = traceback.extract_tb(error.__traceback__)[-2:]
    line = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": "error",
        "event": PROCESS_FAILED,
        "name": "process-failed",
        "host": "",
        "phase": phase,
        "exit_code": code,
        "error": type(error).__name__,
        "problem": str(error)[:MAX_TEXT_LENGTH],
        "frames": " > ".join(
            f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames
        ),
    }
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()

"""Short descriptions of errors for the log."""

import traceback
from pathlib import Path
from types import FrameType

# Characters of an error's text that are kept; it may quote what others have sent.
MAX_TEXT_LENGTH = 200
# Frames of the traceback that are named, the innermost ones.
MAX_FRAMES = 4


def describe_error(error: BaseException) -> dict[str, str]:
    """Return the fields of a log line that tell an error and where it was raised.

    Parameters
    ----------
    error : BaseException
        Error to describe.

    Returns
    -------
    dict of str to str
        `error`, the type; `problem`, its text, cut short; `frames`, the innermost
        functions of its traceback with file and line, outermost first.
    """
    return {
        "error": type(error).__name__,
        "problem": _text(error)[:MAX_TEXT_LENGTH],
        "frames": _places(traceback.extract_tb(error.__traceback__)),
    }


def describe_stack(frame: FrameType | None) -> str:
    """Return the innermost functions that run, with file and line, outermost first.

    Parameters
    ----------
    frame : FrameType or None
        Innermost frame of the stack.
    """
    return _places(traceback.extract_stack(frame))


def _places(frames: list[traceback.FrameSummary]) -> str:
    return " > ".join(
        f"{Path(frame.filename).name}:{frame.lineno} {frame.name}"
        for frame in frames[-MAX_FRAMES:]
    )


def _text(error: BaseException) -> str:
    try:
        return str(error)
    except Exception as failure:
        return f"no text: {type(failure).__name__}"

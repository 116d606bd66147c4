"""Reads the settings file of a host."""

import os
from pathlib import Path

from result import Err, Result

from foxtailseam.platform import (
    MAX_SETTINGS_BYTES,
    SETTINGS_VARIABLE,
    HostSettings,
    decode_settings,
)
from foxtailseam.utils import ValidationProblem


def read_settings() -> Result[HostSettings, ValidationProblem]:
    """Read the settings file that the environment variable names.

    Returns
    -------
    Result of HostSettings or ValidationProblem
        The problem if the file is missing or invalid.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        with path.open("rb") as file:
            text = file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        return Err(ValidationProblem("settings file", str(error), "a readable file"))
    return decode_settings(text)

"""Loads settings from YAML."""

from datetime import timedelta
from pathlib import Path

import dacite
import yaml
from result import Err, Ok, Result

from foxtailseam.settings._checks import check_settings
from foxtailseam.settings._model import Role, Routing, Settings
from foxtailseam.utils import ValidationProblem, parse_duration


def load_settings(path: Path) -> Result[Settings, list[ValidationProblem]]:
    """Read, parse and validate a settings file.

    Parameters
    ----------
    path : Path
        Path of the YAML file.

    Returns
    -------
    Result[Settings, list of ValidationProblem]
        The settings, or all problems found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([ValidationProblem(str(path), str(error), "a readable file")])
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, list[ValidationProblem]]:
    """Parse and validate settings.

    Parameters
    ----------
    text : str
        YAML document with one mapping for each section of `Settings`.

    Returns
    -------
    Result[Settings, list of ValidationProblem]
        The settings, or the problems found: the first one if the document or
        the type of a value is invalid, otherwise all values out of range.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        return Err([ValidationProblem("settings", str(error), "YAML")])
    if not isinstance(document, dict):
        kind = type(document).__name__
        return Err([ValidationProblem("settings", kind, "a YAML mapping")])
    config = dacite.Config(
        strict=True,
        type_hooks={timedelta: _to_timedelta},
        cast=[Role, Routing, tuple],
    )
    try:
        settings = dacite.from_dict(Settings, document, config)
    except (dacite.DaciteError, ValueError, TypeError) as error:
        return Err([ValidationProblem("settings", str(error), "docs/settings.md")])
    problems = check_settings(settings)
    return Err(problems) if problems else Ok(settings)


def _to_timedelta(value: object) -> timedelta:
    duration = parse_duration(str(value))
    if duration is None:
        raise ValueError(f"found {value!r}, expected a duration such as 250ms or 2s")
    return duration

"""Settings of a process, loaded from YAML into validated, frozen dataclasses."""

from foxtailseam.settings._loader import load_settings, parse_settings
from foxtailseam.settings._model import (
    EntrySettings,
    GatherSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
    Role,
    Routing,
    Settings,
    ShutdownSettings,
)

__all__ = [
    "EntrySettings",
    "GatherSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "ProcessSettings",
    "Role",
    "Routing",
    "Settings",
    "ShutdownSettings",
    "load_settings",
    "parse_settings",
]

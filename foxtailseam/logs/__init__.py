"""Numbered log events and their structured output."""

from foxtailseam.logs._catalogue import EventCode, Severity
from foxtailseam.logs._writer import LogWriter

__all__ = ["EventCode", "LogWriter", "Severity", "setup_logging"]


def __getattr__(name: str):
    # logbook takes a third of a host's start; only daemons that use it wait.
    if name == "setup_logging":
        from foxtailseam.logs._setup import setup_logging

        return setup_logging
    raise AttributeError(name)

"""Catalogue of numbered log events, and structured log output."""

from foxtailseam.logs._catalogue import EventCode, Severity
from foxtailseam.logs._writer import LogWriter

__all__ = ["EventCode", "LogWriter", "Severity", "setup_logging"]


def __getattr__(name: str):
    # Importing logbook takes a third of the startup time of a host, so it is
    # imported only in the daemons that use it.
    if name == "setup_logging":
        from foxtailseam.logs._setup import setup_logging

        return setup_logging
    raise AttributeError(name)

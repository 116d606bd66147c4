"""Numbered log events and their structured output."""

from foxtailseam.logs._catalogue import EventCode, Severity
from foxtailseam.logs._setup import setup_logging

__all__ = ["EventCode", "Severity", "setup_logging"]

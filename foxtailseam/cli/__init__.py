"""The command line."""

from foxtailseam.cli._main import main

__all__ = ["main"]

"""The command-line interface."""

from foxtailseam.cli._main import main

__all__ = ["main"]

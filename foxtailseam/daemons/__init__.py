"""The processes: thin daemons over the library."""

from foxtailseam.daemons._run import run_daemon

__all__ = ["run_daemon"]

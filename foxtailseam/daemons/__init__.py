"""Entry and gather processes, built from the components of other packages."""

from foxtailseam.daemons._run import run_daemon

__all__ = ["run_daemon"]

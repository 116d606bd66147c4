"""Starts the process of a host: ``python -m foxtailseam.launch IP:PORT``.

``IP:PORT`` is the address for callers. Connections made before the process can serve
them wait in the kernel's queue. Their requests then wait for the first configuration.
"""

import sys

from foxtailseam.launch import ListenError, wait_for_listener
from foxtailseam.launch._exit_codes import ExitCode
from foxtailseam.launch._signals import EarlySignals

# Time in which an address that is in use may become free: a process that has just
# ended may still be closing its sockets.
ADDRESS_PATIENCE_SECONDS = 2.0


def main() -> int:
    """Open the callers' listener, run the host process and return its exit code."""
    early_signals = EarlySignals()
    early_signals.install()
    if len(sys.argv) != 2:
        sys.stderr.write("usage: python -m foxtailseam.launch IP:PORT\n")
        return ExitCode.USAGE
    try:
        listener = wait_for_listener(sys.argv[1], ADDRESS_PATIENCE_SECONDS)
    except ListenError as error:
        return _fail("listen", ExitCode.ADDRESS_UNAVAILABLE, error)
    try:
        # Imported after the socket listens, because this import takes most of the
        # startup time.
        from foxtailseam.front import run_host
    except Exception as error:
        return _fail("import", ExitCode.PACKAGE_MISSING, error)
    return run_host(listener, early_signals)


def _fail(phase: str, code: ExitCode, error: Exception) -> ExitCode:
    # Imported late, since a good start does not need it.
    from foxtailseam.launch._failure import report_failure

    report_failure(phase, code, error)
    return code


sys.exit(main())

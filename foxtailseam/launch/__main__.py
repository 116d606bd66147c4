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


def main(packages: str = "") -> int:
    """Open the callers' listener, run the host process and return its exit code.

    Parameters
    ----------
    packages : str
        Folder that the packages are expected in; empty if it isn't known.
    """
    early_signals = EarlySignals()
    early_signals.install()
    if len(sys.argv) != 2:
        sys.stderr.write("the address for callers is missing: IP:PORT\n")
        return ExitCode.USAGE
    try:
        listener = wait_for_listener(sys.argv[1], ADDRESS_PATIENCE_SECONDS)
    except ListenError as error:
        _log_failure("listen", ExitCode.ADDRESS_UNAVAILABLE, error)
        return ExitCode.ADDRESS_UNAVAILABLE
    # Imported after the socket listens, because this import takes most of the
    # startup time.
    try:
        from foxtailseam.front import run_host
    except Exception as error:
        # Incomplete files raise many types of error.
        _log_failure("import", ExitCode.PACKAGE_MISSING, error)
        return _report(error, packages)
    try:
        return run_host(listener, early_signals)
    except ImportError as error:
        # Some modules are imported once the host serves.
        return _report(error, packages)


def _log_failure(phase: str, code: ExitCode, error: Exception) -> None:
    # Imported late, since a good start does not need it.
    from foxtailseam.launch._failure import log_failure

    log_failure(phase, code, error)


def _report(error: Exception, packages: str) -> int:
    from foxtailseam.launch._import_failure import describe_import_failure

    sys.stderr.write(f"{describe_import_failure(error, packages)}\n")
    return ExitCode.PACKAGE_MISSING


if __name__ == "__main__":
    sys.exit(main())

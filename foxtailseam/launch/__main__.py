"""Starts the process of a host: ``python -m foxtailseam.launch IP:PORT``.

``IP:PORT`` is the address for callers. Connections made before the process can serve
them wait in the kernel's queue. Their requests then wait for the first configuration.
"""

import sys

from foxtailseam.launch import ListenError, wait_for_listener
from foxtailseam.launch._signals import EarlySignals

# Time in which an address that is in use may become free: a process that has just
# ended may still be closing its sockets.
ADDRESS_PATIENCE_SECONDS = 2.0
# As in `ExitCode`, which takes time to import.
USAGE_EXIT_CODE = 2


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
        return USAGE_EXIT_CODE
    try:
        listener = wait_for_listener(sys.argv[1], ADDRESS_PATIENCE_SECONDS)
    except ListenError as error:
        return _fail_to_listen(error)
    # Imported after the socket listens, because this import takes most of the
    # startup time.
    try:
        from foxtailseam.front import run_host
    except Exception as error:
        # Incomplete files raise many types of error.
        return _fail_to_import(error, packages, is_logged=False)
    try:
        return run_host(listener, early_signals)
    except ImportError as error:
        # Some modules are imported once the host serves.
        return _fail_to_import(error, packages, is_logged=True)


# What only a failed start needs is imported late.
def _fail_to_listen(error: ListenError) -> int:
    from foxtailseam.launch._exit_codes import ExitCode
    from foxtailseam.launch._failure import log_failure

    log_failure("listen", ExitCode.ADDRESS_UNAVAILABLE, error)
    return ExitCode.ADDRESS_UNAVAILABLE


def _fail_to_import(error: Exception, packages: str, is_logged: bool) -> int:
    from foxtailseam.launch._exit_codes import ExitCode
    from foxtailseam.launch._failure import log_failure
    from foxtailseam.launch._import_failure import describe_import_failure

    if not is_logged:
        log_failure("import", ExitCode.PACKAGE_MISSING, error)
    sys.stderr.write(f"{describe_import_failure(error, packages)}\n")
    return ExitCode.PACKAGE_MISSING


if __name__ == "__main__":
    sys.exit(main())

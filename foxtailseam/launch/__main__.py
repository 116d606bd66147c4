"""Starts the process of a host: ``python -m foxtailseam.launch IP:PORT``.

``IP:PORT`` is the address for callers. Connections made before the process can serve
them wait in the kernel's queue. Their requests then wait for the first configuration.
"""

import os
import sys

from foxtailseam.launch import open_listener


def main(packages: str = "") -> int:
    """Open the callers' listener, run the host process and return its exit code.

    Parameters
    ----------
    packages : str
        Folder that the packages are expected in; empty if it isn't known.
    """
    listener = open_listener(sys.argv[1])
    # Imported after the socket listens, because this import takes most of the
    # startup time.
    try:
        from foxtailseam.front import run_host
    except Exception as error:
        # Incomplete files raise many types of error.
        return _report(error, packages)
    try:
        return run_host(listener)
    except ImportError as error:
        # Some modules are imported once the host serves.
        return _report(error, packages)


def _report(error: Exception, packages: str) -> int:
    from foxtailseam.launch._import_failure import describe_import_failure

    sys.stderr.write(f"{describe_import_failure(error, packages)}\n")
    return os.EX_CONFIG


if __name__ == "__main__":
    sys.exit(main())

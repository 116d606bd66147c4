"""Starts the process of a host: ``python -m foxtailseam.launch IP:PORT``.

``IP:PORT`` is the address for callers. Connections made before the process can serve
them wait in the kernel's queue. Their requests then wait for the first configuration.
"""

import sys

from foxtailseam.launch import open_listener


def main() -> int:
    """Open the callers' listener, run the host process and return its exit code."""
    listener = open_listener(sys.argv[1])
    # Imported after the socket listens, because this import takes most of the
    # startup time.
    from foxtailseam.front import run_host

    return run_host(listener)


sys.exit(main())

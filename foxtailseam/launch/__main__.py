"""Starts the process of a host: ``python -m foxtailseam.launch IP:PORT``.

``IP:PORT`` is where callers come. Those that come before the process can serve
them wait in the kernel's queue, and then for the first configuration.
"""

import sys

from foxtailseam.launch import open_listener


def main() -> int:
    """Open the callers' listener, then import and run the rest."""
    listener = open_listener(sys.argv[1])
    # Imported only now: this takes most of the start.
    from foxtailseam.front import run_host

    return run_host(listener)


sys.exit(main())

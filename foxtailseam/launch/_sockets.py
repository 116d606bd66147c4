"""Opens a listening socket."""

import socket

# Connections that the kernel keeps until they are accepted.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on ``IP:PORT``; raises `OSError` if none can."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # The last process may have left connections that still end.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener

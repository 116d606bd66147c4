"""Opens a listening socket."""

import socket

# Maximum number of connections that the kernel queues until they are accepted.
BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on an address.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on, IPv4 only; port 0 picks a free port.

    Raises
    ------
    OSError
        If the address cannot be listened on, for example because it is in use.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # The previous process may have left connections in TIME_WAIT.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener

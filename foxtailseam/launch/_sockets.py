"""Opens a listening socket."""

import errno
import socket
import time
from collections.abc import Callable

# Maximum number of connections that the kernel queues until they are accepted.
BACKLOG = 512
# Connections that are accepted in one iteration of the event loop. Each has a file
# descriptor before its listener can close it, or another one, for its limit.
MAX_ACCEPTED = 32
RETRY_SECONDS = 0.05


class ListenError(OSError):
    """An address cannot be listened on; `filename` is the address."""


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens on an address.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on, IPv4 only; port 0 picks a free port.

    Raises
    ------
    ListenError
        If the address cannot be listened on, for example because it is in use.
    """
    try:
        host, _, port = address.rpartition(":")
        return _open(host, int(port))
    except OSError as error:
        raise ListenError(error.errno, error.strerror, address) from error
    except (ValueError, OverflowError) as error:
        raise ListenError(errno.EINVAL, str(error), address) from error


def wait_for_listener(
    address: str,
    patience: float,
    sleep: Callable[[float], None] = time.sleep,
    now: Callable[[], float] = time.monotonic,
) -> socket.socket:
    """Return a socket that listens on an address, which may still be in use.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    patience : float
        Seconds in which an address that is in use is tried again.
    sleep : callable
        Waits for a number of seconds.
    now : callable
        Returns a monotonic time in seconds.

    Raises
    ------
    ListenError
        If the address cannot be listened on until then.
    """
    end = now() + patience
    while True:
        try:
            return open_listener(address)
        except ListenError as error:
            if error.errno != errno.EADDRINUSE or now() >= end:
                raise
        sleep(RETRY_SECONDS)


def _open(host: str, port: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # The previous process may have left connections in TIME_WAIT.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except Exception:
        listener.close()
        raise
    return listener

"""Options of the socket of a caller's connection."""

import contextlib
import socket
from datetime import timedelta

from foxtailseam.http._round_trip import kernel_rtt

# Time that sent response data may stay unacknowledged by the caller before the
# connection is closed.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=6)


def prepare_socket(sock: socket.socket) -> float | None:
    """Set the options of a socket; return its round-trip time in seconds if known.

    Parameters
    ----------
    sock : socket.socket
        Connected socket.
    """
    unacknowledged_ms = int(UNACKNOWLEDGED_TIMEOUT.total_seconds() * 1000)
    with contextlib.suppress(OSError):
        # Fails if the connection was already reset; its loss is reported later.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
        return kernel_rtt(sock)
    return None

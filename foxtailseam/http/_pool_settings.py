"""Settings of a pool of connections to one upstream server."""

import socket
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.http._client_socket import SocketOption


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Address, limits and timeouts of the connections to one server.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the server.
    limit : int
        Maximum number of connections, including those being opened.
    connect_timeout : timedelta
        Maximum time to open a connection.
    unacknowledged_timeout : timedelta
        Maximum time that sent data may stay unacknowledged (TCP_USER_TIMEOUT).
    identifier_header : bytes
        Lowercase name of the response header that echoes the identifier of the
        request; empty if responses have no such header.
    probe_interval : timedelta or None
        Interval of TCP keep-alive probes, in whole seconds, at least one; a
        connection that leaves one unanswered is closed. None disables probes.
    """

    address: str
    limit: int
    connect_timeout: timedelta
    unacknowledged_timeout: timedelta
    identifier_header: bytes = b""
    probe_interval: timedelta | None = None

    @property
    def socket_options(self) -> tuple[SocketOption, ...]:
        """Return the level, name and value of the options of each socket."""
        unacknowledged_ms = int(self.unacknowledged_timeout.total_seconds() * 1000)
        options = (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms),
        )
        if self.probe_interval is None:
            return options
        seconds = max(1, int(self.probe_interval.total_seconds()))
        return (
            *options,
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
        )

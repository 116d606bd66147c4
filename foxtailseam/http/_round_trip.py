"""Round-trip time of a TCP connection."""

import socket
import sys

# Offset of tcpi_rtt, the round-trip time in microseconds, in struct tcp_info
# (linux/tcp.h).
TCP_INFO_RTT_OFFSET = 68
TCP_INFO_BYTES = 72


def kernel_rtt(sock: socket.socket) -> float | None:
    """Return the TCP round-trip time that the kernel measured, in seconds.

    None if the kernel does not provide it.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < TCP_INFO_BYTES:
        return None
    microseconds = int.from_bytes(
        info[TCP_INFO_RTT_OFFSET:TCP_INFO_BYTES], sys.byteorder
    )
    return microseconds / 1e6 or None

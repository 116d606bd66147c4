"""Ports on loopback that no other process of the tests or the bench uses."""

import fcntl
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import IO

# The ports lie below the operating system's range of ephemeral ports. An outgoing
# connection could otherwise take a port between its choice and its use.
FIRST_PORT = 12_000
BLOCK_SIZE = 500
BLOCKS = 40


class PortReservation:
    """Blocks of ports that belong to one process until it ends.

    A block is reserved by the lock on a file, which ends with the process. Test runs
    at the same time thus have different ports.

    Parameters
    ----------
    directory : Path
        Directory of the lock files, common to all processes.
    """

    def __init__(self, directory: Path):
        self.directory = directory
        # Open lock files by block.
        self._locks: dict[int, IO[bytes]] = {}
        self._ports: Iterator[int] = iter(())

    def take(self, count: int) -> list[int]:
        """Return ports that are free now.

        They are returned again only if all blocks are in use.

        Parameters
        ----------
        count : int
            Number of ports.

        Raises
        ------
        OSError
            If no block can be reserved, since other processes have all of them.
        """
        ports: list[int] = []
        while len(ports) < count:
            port = next(self._ports, None)
            if port is None:
                self._ports = self._next_ports()
            elif _is_free(port):
                ports.append(port)
        return ports

    def _next_ports(self) -> Iterator[int]:
        """Return the ports of one more block, or else those of all own blocks."""
        for block in range(BLOCKS):
            if block not in self._locks and self._lock(block):
                return iter(_ports_of(block))
        if not self._locks:
            raise OSError(f"{self.directory}: all {BLOCKS} blocks of ports are in use")
        return (port for block in self._locks for port in _ports_of(block))

    def _lock(self, block: int) -> bool:
        path = self.directory / f"foxtailseam-ports-{block}.lock"
        file = path.open("ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            file.close()
            return False
        self._locks[block] = file
        return True


_RESERVATION = PortReservation(Path(tempfile.gettempdir()))


def free_ports(count: int) -> list[int]:
    """Return `count` TCP ports on loopback that are free, for this process alone."""
    return _RESERVATION.take(count)


def _ports_of(block: int) -> range:
    first = FIRST_PORT + block * BLOCK_SIZE
    return range(first, first + BLOCK_SIZE)


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True

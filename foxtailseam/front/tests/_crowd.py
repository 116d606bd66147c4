"""Callers that do not respect the limits, and what a host's process takes meanwhile."""

import asyncio
import contextlib
import itertools
import os
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from foxtailseam_bench.platform_deployment import eventually

# Time in which a crowd misbehaves.
LOAD_SECONDS = 5.0
# Pause before a caller whose connection was closed comes back.
RETURN_SECONDS = 0.1
SAMPLE_SECONDS = 0.1
# Bounds a hang; an unloaded host answers within milliseconds.
ANSWER_SECONDS = 30.0


@dataclass(frozen=True)
class Misbehavior:
    """What each caller of a crowd does on its connections.

    Parameters
    ----------
    name : str
        Name for the report of the test.
    callers : int
        Number of callers.
    pieces : callable
        Returns the pieces of bytes that a caller sends to a path; it then leaves the
        connection open.
    pause : float
        Time between two pieces, in seconds.
    receive_buffer : int or None
        Size of the kernel's receive buffer; None for its default.
    """

    name: str
    callers: int
    pieces: Callable[[str], Iterable[bytes]]
    pause: float = 0.0
    receive_buffer: int | None = None

    def __str__(self):
        return self.name


class Crowd:
    """Callers that all do the same and never read an answer.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to connect to.
    misbehavior : Misbehavior
        What each of them does.
    path : str
        Path of their requests.
    """

    def __init__(self, address, misbehavior, path=""):
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._misbehavior = misbehavior
        self._path = path

    async def run(self, seconds=LOAD_SECONDS):
        """Misbehave for some time, then close all connections."""
        callers = range(self._misbehavior.callers)
        tasks = [asyncio.create_task(self._call_again_and_again()) for _ in callers]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _call_again_and_again(self):
        while True:
            with contextlib.suppress(OSError):
                await self._call()
            await asyncio.sleep(RETURN_SECONDS)

    async def _call(self):
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            if self._misbehavior.receive_buffer is not None:
                size = self._misbehavior.receive_buffer
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            await loop.sock_connect(sock, self._address)
            for piece in self._misbehavior.pieces(self._path):
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(self._misbehavior.pause)
            await asyncio.Event().wait()


class ProcessUse:
    """Largest memory and number of descriptors of a process.

    Parameters
    ----------
    pid : int
        Identifier of the process.
    """

    def __init__(self, pid):
        self._directory = Path(f"/proc/{pid}")
        self.descriptors = 0
        self.memory_mb = 0.0

    async def watch(self):
        """Sample until cancelled, or until the process has ended."""
        with contextlib.suppress(OSError, ValueError):
            while True:
                count = len(os.listdir(self._directory / "fd"))
                self.descriptors = max(self.descriptors, count)
                status = (self._directory / "status").read_text()
                kilobytes = status.partition("VmHWM:")[2].split()[0]
                self.memory_mb = int(kilobytes) / 1000
                await asyncio.sleep(SAMPLE_SECONDS)


async def answers(host, path):
    """Return whether a host answers an ordinary request with 200."""
    try:
        return (await host.get(path))[0] == 200
    except (OSError, TimeoutError, IndexError):
        return False


async def assert_survives(host, crowd, memory_mb, descriptors, path="/read/x"):
    """Run a crowd; a host must live, stay within its bounds and answer afterwards."""
    use = ProcessUse(host.process.pid)
    watch = asyncio.create_task(use.watch())
    await crowd.run()

    async def has_ended_or_answered():
        return host.process.returncode is not None or await answers(host, path)

    await eventually(has_ended_or_answered, ANSWER_SECONDS)
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    assert host.process.returncode is None
    assert use.memory_mb < memory_mb
    assert use.descriptors < descriptors


def numbered(count, render):
    """Return the bytes of requests with different identifiers."""
    return b"".join(render(number) for number in itertools.islice(ids(), count))


def ids():
    """Return identifiers that ordinary requests of the tests do not use."""
    return map("{:016x}".format, itertools.count(1 << 40))

"""Starts, stops, freezes and kills processes; the one place that does."""

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

STOP_SECONDS = 40.0
FIRST_PORT = 12_000
PORT_COUNT = 20_000
PORTS_VARIABLE = "FOXTAILSEAM_BENCH_PORTS"
# Processes that run at the same time begin at different places: where the
# variable says, or else by their number.
_PORT_NUMBERS = itertools.count(
    int(os.environ.get(PORTS_VARIABLE, os.getpid() * 1_201))
)


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback interface that are free now.

    They lie below the range that the system gives to outgoing connections,
    which could take a port between this call and its use.
    """
    ports = []
    while len(ports) < count:
        port = FIRST_PORT + next(_PORT_NUMBERS) % PORT_COUNT
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as item:
        try:
            item.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def wait_until(
    condition: Callable[[], bool], seconds: float, what: str, step: float = 0.02
) -> float:
    """Wait for a condition; return how long it took, in seconds."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > seconds:
            raise AssertionError(f"not within {seconds} s: {what}")
        time.sleep(step)
    return time.monotonic() - started


@dataclass
class ProcessGroup:
    """Processes by name.

    Parameters
    ----------
    directory : Path
        Where their output goes, one file for each.
    """

    directory: Path
    _commands: dict[str, list[str]] = field(default_factory=dict)
    _running: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start(self, name: str, command: list[str]) -> None:
        """Start ``python -m COMMAND``."""
        self._commands[name] = command
        output = (self.directory / f"{name}.log").open("ab")
        with output:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def restart(self, name: str) -> None:
        """Start a process again with the command that it had."""
        self.start(name, self._commands[name])

    def pid(self, name: str) -> int:
        """Return the process number."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._running[name].kill()
        self._running[name].wait()

    def suspend(self, name: str) -> None:
        """Stop a process from running, as a long pause does."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a frozen process run again."""
        self.signal(name, signal.SIGCONT)

    def wait(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Wait for the end of a process; return its exit code."""
        return self._running[name].wait(seconds)

    def stop_all(self) -> None:
        """End every process."""
        for process in self._running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running.values():
            process.wait()

    def names(self) -> list[str]:
        """Return the names of all processes ever started."""
        return list(self._running)

    def output(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

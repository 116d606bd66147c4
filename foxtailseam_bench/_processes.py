"""Starts, stops, freezes and kills processes; the one place that does."""

import contextlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

STOP_SECONDS = 40.0


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback interface that are free now."""
    sockets = []
    for _ in range(count):
        item = socket.socket()
        item.bind(("127.0.0.1", 0))
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


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

    def freeze(self, name: str) -> None:
        """Stop a process from running, as a long pause does."""
        self.signal(name, signal.SIGSTOP)

    def wake(self, name: str) -> None:
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

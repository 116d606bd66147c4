"""Starts, suspends and ends the processes of a deployment.

No other module of the bench signals processes.
"""

import contextlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

STOP_TIMEOUT_SECONDS = 40.0


@contextlib.contextmanager
def unaccepting_address() -> Iterator[str]:
    """Yield an ``IP:PORT`` on loopback at which no further connection opens.

    The queue of its listening socket is full, so that opening packets are dropped.
    """
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        port = listener.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)):
            yield f"127.0.0.1:{port}"


def wait_until(
    condition: Callable[[], bool],
    timeout: float,
    description: str,
    interval: float = 0.02,
) -> float:
    """Poll a condition until it holds.

    Parameters
    ----------
    condition : callable
        Returns whether the condition holds.
    timeout : float
        Longest wait, in seconds.
    description : str
        The awaited state, for the error message.
    interval : float
        Pause between two polls, in seconds.

    Returns
    -------
    float
        Seconds until the condition held.

    Raises
    ------
    AssertionError
        If the condition does not hold within `timeout`.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout:
            raise AssertionError(f"not reached within {timeout} s: {description}")
        time.sleep(interval)
    return time.monotonic() - started


@dataclass
class ProcessGroup:
    """Child processes that run modules of Python, by name.

    Parameters
    ----------
    directory : Path
        Directory of the output files; each process appends to ``NAME.log``.
    """

    directory: Path
    _commands: dict[str, list[str]] = field(default_factory=dict)
    _running: dict[str, subprocess.Popen] = field(default_factory=dict)

    def start(self, name: str, command: list[str]) -> None:
        """Start ``python -m COMMAND``, a module and its arguments, under a name."""
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
        """Start a process again with its last command."""
        self.start(name, self._commands[name])

    def pid(self, name: str) -> int:
        """Return the operating system's identifier of a process."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self._running[name].kill()
        self._running[name].wait()

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP, as if it paused for long."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.signal(name, signal.SIGCONT)

    def wait(self, name: str, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait up to `seconds` for the end of a process; return its exit code."""
        return self._running[name].wait(seconds)

    def stop_all(self) -> None:
        """Kill every process, suspended ones included, and wait for their end."""
        for process in self._running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running.values():
            process.wait()

    def names(self) -> list[str]:
        """Return the names of all processes that were started, ended ones included."""
        return list(self._running)

    def output(self, name: str) -> str:
        """Return what a process has written to standard output and error."""
        return (self.directory / f"{name}.log").read_text(errors="replace")

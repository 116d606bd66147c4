"""Runs the process of a host and tells why it ends."""

import asyncio
import gc
import socket
import sys

from foxtailseam.clocks import SuspendAwareClock
from foxtailseam.front._host import Host
from foxtailseam.front._process_failure import ProcessFailure
from foxtailseam.front._settings_file import read_settings
from foxtailseam.launch import EarlySignals, ExitCode
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.platform import HostSettings

# Threshold of the youngest generation of the garbage collector; high because requests
# create few reference cycles.
GC_THRESHOLD = 20_000


def run_host(
    listening_socket: socket.socket | None = None,
    early_signals: EarlySignals | None = None,
) -> ExitCode:
    """Run the process of a host and return its exit code.

    Parameters
    ----------
    listening_socket : socket.socket or None
        Socket that already listens for callers; None to open one at the start.
    early_signals : EarlySignals or None
        Signals that arrive before the host can handle them.

    Raises
    ------
    ImportError
        If a module is missing that is imported late; it is logged.
    """
    # The log of failures before the host, which has a log of its own, exists.
    log = LogWriter(sys.stdout.fileno(), "", SuspendAwareClock())
    try:
        settings = read_settings()
        if settings.is_err():
            return _refuse_settings(log, str(settings.unwrap_err()))
        gc.set_threshold(GC_THRESHOLD, 20, 20)
        gc.freeze()
        early_signals = early_signals or EarlySignals()
        return asyncio.run(
            _run(settings.unwrap(), listening_socket, early_signals, log)
        )
    finally:
        log.flush()


def _refuse_settings(log: LogWriter, problem: str) -> ExitCode:
    code = ExitCode.SETTINGS_INVALID
    log.write(
        EventCode.PROCESS_FAILED, phase="settings", exit_code=code, problem=problem
    )
    return code


async def _run(
    settings: HostSettings,
    listening_socket: socket.socket | None,
    early_signals: EarlySignals,
    log: LogWriter,
) -> ExitCode:
    try:
        host = Host(settings, listening_socket)
    except Exception as error:
        failure = ProcessFailure(error, has_started=False)
        log.write(EventCode.PROCESS_FAILED, **failure.describe())
        return failure.exit_code
    try:
        await host.run(early_signals)
    except ImportError:
        raise
    except Exception as error:
        return ProcessFailure(error, has_started=True).exit_code
    return ExitCode.STOPPED

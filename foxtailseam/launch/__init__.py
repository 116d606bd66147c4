"""Starts the process of a host and opens its callers' listener first.

Imports nothing but the standard library's sockets: importing the rest of the program
takes so long that callers would be refused in the meantime.
"""

from foxtailseam.launch._sockets import (
    BACKLOG,
    MAX_ACCEPTED,
    ListenError,
    open_listener,
    wait_for_listener,
)

__all__ = [
    "BACKLOG",
    "MAX_ACCEPTED",
    "EarlySignals",
    "ExitCode",
    "ListenError",
    "open_listener",
    "wait_for_listener",
]


def __getattr__(name: str):
    # Not needed to open the listener.
    match name:
        case "EarlySignals":
            from foxtailseam.launch._signals import EarlySignals

            return EarlySignals
        case "ExitCode":
            from foxtailseam.launch._exit_codes import ExitCode

            return ExitCode
    raise AttributeError(name)

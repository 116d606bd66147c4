"""Starts the process of a host and opens its callers' listener first.

Imports nothing but the standard library's sockets: importing the rest of the program
takes so long that callers would be refused in the meantime.
"""

from foxtailseam.launch._sockets import BACKLOG, open_listener

__all__ = ["BACKLOG", "open_listener"]

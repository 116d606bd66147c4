"""Starts the process of a host with its callers' listener open from the first moment.

Imports nothing but the standard library's sockets: what else the program needs
takes longer to import than callers should be refused.
"""

from foxtailseam.launch._sockets import BACKLOG, open_listener

__all__ = ["BACKLOG", "open_listener"]

"""Requests that a host cut from the searchers forwards to other hosts.

A forwarded request is never forwarded again, so that no circle of hosts can arise.
"""

from foxtailseam.forwarding._forward import Forward, Forwarder
from foxtailseam.forwarding._messages import (
    ForwardedRequest,
    ForwardedResponse,
    Unavailability,
)
from foxtailseam.forwarding._results import Forwarded, ForwardResult, NotForwarded
from foxtailseam.forwarding._selection import PeerHost, PeerSelector
from foxtailseam.forwarding._sending import (
    HOP_SECONDS,
    ForwardSender,
    PeerAnswered,
    PeerFailed,
    PeerResult,
    PendingSend,
)

__all__ = [
    "HOP_SECONDS",
    "Forward",
    "ForwardResult",
    "ForwardSender",
    "Forwarded",
    "ForwardedRequest",
    "ForwardedResponse",
    "Forwarder",
    "NotForwarded",
    "PeerAnswered",
    "PeerFailed",
    "PeerHost",
    "PeerResult",
    "PeerSelector",
    "PendingSend",
    "Unavailability",
]

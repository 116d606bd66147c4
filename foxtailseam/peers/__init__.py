"""State shared among processes: published values and the states of peers."""

from foxtailseam.peers._controller import PeerController
from foxtailseam.peers._identity import Identity
from foxtailseam.peers._platform import PlatformController
from foxtailseam.peers._published import PublishedState
from foxtailseam.peers._table import PeerEvent, PeerState, PeerTable

__all__ = [
    "Identity",
    "PeerController",
    "PeerEvent",
    "PeerState",
    "PeerTable",
    "PlatformController",
    "PublishedState",
]

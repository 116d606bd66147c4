"""How hosts find each other and pass on what few of them read.

Nothing waits for this: a host alone reads the configuration service itself.
"""

from foxtailseam.fleet._controller import FleetController, FleetSettings
from foxtailseam.fleet._members import HostRecord, Membership
from foxtailseam.fleet._messages import (
    FollowRequest,
    FollowUpdate,
    MemberExchange,
    WireChange,
)
from foxtailseam.fleet._tree import Position, position_of

__all__ = [
    "FleetController",
    "FleetSettings",
    "FollowRequest",
    "FollowUpdate",
    "HostRecord",
    "MemberExchange",
    "Membership",
    "Position",
    "WireChange",
    "position_of",
]

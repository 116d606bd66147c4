"""Membership of hosts, and distribution of the configuration among them.

A few hosts read the configuration service and relay its changes to the others. No
host depends on this: one that finds no peers reads the service itself.
"""

from foxtailseam.fleet._controller import FleetController
from foxtailseam.fleet._forward_sender import ChannelForwardSender
from foxtailseam.fleet._gossip import Gossip
from foxtailseam.fleet._host_record import HostRecord, MemberNews
from foxtailseam.fleet._membership import Membership
from foxtailseam.fleet._messages import (
    FollowRequest,
    FollowUpdate,
    MemberExchange,
    WireChange,
)
from foxtailseam.fleet._settings import FleetSettings, PeerLimits
from foxtailseam.fleet._state_exchange import StateExchange, StateSource
from foxtailseam.fleet._tree import TreePosition, compute_position

__all__ = [
    "ChannelForwardSender",
    "FleetController",
    "FleetSettings",
    "FollowRequest",
    "FollowUpdate",
    "Gossip",
    "HostRecord",
    "MemberExchange",
    "MemberNews",
    "Membership",
    "PeerLimits",
    "StateExchange",
    "StateSource",
    "TreePosition",
    "WireChange",
    "compute_position",
]

"""The platform's list of hosts, and rendezvous hashing over its processes."""

from foxtailseam.hosts._hosts import HostList, HostState, ListedHost, parse_hosts
from foxtailseam.hosts._rendezvous import (
    balanced_orders,
    rendezvous_draw,
    rendezvous_order,
    rendezvous_subset,
)

__all__ = [
    "HostList",
    "HostState",
    "ListedHost",
    "balanced_orders",
    "parse_hosts",
    "rendezvous_draw",
    "rendezvous_order",
    "rendezvous_subset",
]

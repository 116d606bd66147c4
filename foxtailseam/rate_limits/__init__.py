"""Request limits that searchers name, and how the hosts share them."""

from foxtailseam.rate_limits._observations import LimitNotice, LimitObservations
from foxtailseam.rate_limits._sharing import HostGroup, RateShare, RequestPacer

__all__ = [
    "HostGroup",
    "LimitNotice",
    "LimitObservations",
    "RateShare",
    "RequestPacer",
]

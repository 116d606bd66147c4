"""How the hosts share the request rate that a searcher accepts."""

from foxtailseam.rate_limits._sharing import HostGroup, RateShare, RequestPacer

__all__ = ["HostGroup", "RateShare", "RequestPacer"]

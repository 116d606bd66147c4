"""How the hosts share the request rate that a searcher accepts."""

from foxtailseam.rate_limits._sharing import HostGroup, RateShare, RequestPacer
from foxtailseam.rate_limits._warmup import (
    RAMP_SECONDS,
    WarmupLimit,
    WarmupPacer,
)

__all__ = [
    "RAMP_SECONDS",
    "HostGroup",
    "RateShare",
    "RequestPacer",
    "WarmupLimit",
    "WarmupPacer",
]

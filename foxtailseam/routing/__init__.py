"""The operator's configuration (routes, services, limits) and route matching."""

from foxtailseam.routing._model import (
    AllShards,
    CallerLimits,
    Configuration,
    Destination,
    OneService,
    Route,
    Service,
    WeightedServices,
)
from foxtailseam.routing._table import RouteTable
from foxtailseam.routing._weights import WeightedRoundRobin

__all__ = [
    "AllShards",
    "CallerLimits",
    "Configuration",
    "Destination",
    "OneService",
    "Route",
    "RouteTable",
    "Service",
    "WeightedRoundRobin",
    "WeightedServices",
]

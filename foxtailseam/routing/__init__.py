"""What operators configure: routes, services, limits; and the choice of a route."""

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

"""The operator's configuration, as the configuration service holds it."""

from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from foxtailseam.routing import (
    AllShards,
    CallerLimits,
    Configuration,
    Destination,
    OneService,
    Route,
    Service,
    WeightedServices,
)
from foxtailseam.utils import ValidationProblem

CONFIGURATION_KEY = "op/config"
_IDEMPOTENT = "idempotent"
_DEFAULT_LIMITS = CallerLimits()
_MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True)
class _Part:
    weight: float
    service: str = ""
    name: str = ""


@dataclass(frozen=True)
class _Route:
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    latency_goal_ms: float = 0
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    weighted_backends: tuple[_Part, ...] = ()
    # One service for each shard of one index version.
    gather: tuple[str, ...] = ()
    top_k: int = 0
    # No version: the least share of the shards that a success includes.
    min_version: float = 0


@dataclass(frozen=True)
class _Service:
    name: str
    max_conns: int = 0


@dataclass(frozen=True)
class _Limits:
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout / _MILLISECOND
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout / _MILLISECOND


@dataclass(frozen=True)
class _Document:
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Document)


def decode_configuration(value: bytes) -> Result[Configuration, ValidationProblem]:
    """Decode a configuration; fields that are not known here are ignored."""
    try:
        found = _DECODER.decode(value)
    except msgspec.MsgspecError as error:
        problem = ValidationProblem(CONFIGURATION_KEY, str(error), "a configuration")
        return Err(problem)
    limits = found.limits
    return Ok(
        Configuration(
            version=found.version,
            routes=tuple(_route(route) for route in found.routes),
            services=tuple(
                Service(item.name, item.max_conns) for item in found.services
            ),
            limits=CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                timedelta(milliseconds=limits.header_timeout_ms),
                timedelta(milliseconds=limits.idle_timeout_ms),
            ),
        )
    )


def _route(found: _Route) -> Route:
    timeout = timedelta(milliseconds=found.timeout_ms)
    goal = timedelta(milliseconds=found.latency_goal_ms) or timeout
    return Route(
        name=found.name,
        host=found.host.lower(),
        prefix=found.path_prefix,
        # Only one kind may run more than once; any other is taken as the strict one.
        idempotent=found.type == _IDEMPOTENT,
        timeout=timeout,
        latency_goal=goal,
        max_attempts=max(1, found.max_attempts),
        priority=found.priority,
        destination=_destination(found),
    )


def _destination(found: _Route) -> Destination:
    if found.gather:
        return AllShards(found.gather, found.top_k, found.min_version)
    if found.weighted_backends:
        parts = tuple(
            (part.service or part.name, part.weight) for part in found.weighted_backends
        )
        return WeightedServices(parts)
    return OneService(found.service)

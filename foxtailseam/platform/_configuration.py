"""Decodes the operators' configuration from the configuration service."""

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
class _WeightedBackend:
    weight: float
    service: str = ""
    name: str = ""


@dataclass(frozen=True)
class _RouteDocument:
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    latency_goal_ms: float = 0
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    weighted_backends: tuple[_WeightedBackend, ...] = ()
    # Names of services, one for each shard of one index version.
    gather: tuple[str, ...] = ()
    top_k: int = 0
    # Not a version, despite its name: the minimum share of the shards that a successful
    # response includes, 0 to 1.
    min_version: float = 0


@dataclass(frozen=True)
class _ServiceDocument:
    name: str
    max_conns: int = 0


@dataclass(frozen=True)
class _LimitsDocument:
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout / _MILLISECOND
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout / _MILLISECOND


@dataclass(frozen=True)
class _ConfigurationDocument:
    version: int
    routes: tuple[_RouteDocument, ...] = ()
    services: tuple[_ServiceDocument, ...] = ()
    limits: _LimitsDocument = field(default_factory=_LimitsDocument)


_DECODER = msgspec.json.Decoder(_ConfigurationDocument)


def decode_configuration(value: bytes) -> Result[Configuration, ValidationProblem]:
    """Decode a configuration document.

    Parameters
    ----------
    value : bytes
        JSON text; unknown fields are ignored.

    Returns
    -------
    Result
        The configuration, or the problem with the document.
    """
    try:
        document = _DECODER.decode(value)
    except msgspec.MsgspecError as error:
        problem = ValidationProblem(
            CONFIGURATION_KEY, str(error), "a valid configuration"
        )
        return Err(problem)
    limits = document.limits
    return Ok(
        Configuration(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services=tuple(
                Service(item.name, item.max_conns) for item in document.services
            ),
            limits=CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                timedelta(milliseconds=limits.header_timeout_ms),
                timedelta(milliseconds=limits.idle_timeout_ms),
            ),
        )
    )


def _route(document: _RouteDocument) -> Route:
    timeout = timedelta(milliseconds=document.timeout_ms)
    goal = timedelta(milliseconds=document.latency_goal_ms) or timeout
    return Route(
        name=document.name,
        host=document.host.lower(),
        prefix=document.path_prefix,
        # Unknown types are treated as not idempotent: their requests run at most once.
        idempotent=document.type == _IDEMPOTENT,
        timeout=timeout,
        latency_goal=goal,
        max_attempts=max(1, document.max_attempts),
        priority=document.priority,
        destination=_destination(document),
    )


def _destination(document: _RouteDocument) -> Destination:
    if document.gather:
        return AllShards(document.gather, document.top_k, document.min_version)
    if document.weighted_backends:
        parts = tuple(
            (backend.service or backend.name, backend.weight)
            for backend in document.weighted_backends
        )
        return WeightedServices(parts)
    return OneService(document.service)

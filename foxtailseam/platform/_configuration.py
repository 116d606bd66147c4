"""Decodes the operators' configuration from the configuration service."""

from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Annotated

from msgspec import Meta
from result import Err, Ok, Result

from foxtailseam.platform._entries import MAX_VALUE_BYTES, searcher_id_from_key
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
from foxtailseam.utils import (
    ByteCount,
    Count,
    DocumentDecoder,
    Fraction,
    Milliseconds,
    Name,
    PositiveByteCount,
    PositiveMilliseconds,
    SmallInteger,
    ValidationProblem,
    WholeNumber,
    describe_value,
)

CONFIGURATION_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
# Longest name of a failure domain in a key.
MAX_DOMAIN_LENGTH = 200
_IDEMPOTENT = "idempotent"
_DEFAULT_LIMITS = CallerLimits()
_MILLISECOND = timedelta(milliseconds=1)


# Bounded, so that the sum of weights is finite.
_Weight = Annotated[float, Meta(ge=0, le=1e12)]


@dataclass(frozen=True)
class _WeightedBackend:
    weight: _Weight
    service: str = ""
    name: str = ""


@dataclass(frozen=True)
class _RouteDocument:
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: PositiveMilliseconds
    latency_goal_ms: Milliseconds = 0
    max_attempts: Count = 1
    priority: SmallInteger = 0
    # None in a route of a kind that is not known here; its requests are rejected.
    service: Name | None = None
    weighted_backends: tuple[_WeightedBackend, ...] = ()
    # Names of services, one for each shard of one index version.
    gather: tuple[str, ...] = ()
    top_k: Count = 0
    # Not a version, despite its name: the minimum share of the shards that a successful
    # response includes.
    min_version: Fraction = 0


_Rate = Annotated[float, Meta(ge=0, le=1e6)]


@dataclass(frozen=True)
class _ServiceDocument:
    name: str
    max_conns: Count = 0
    warmup_per_s: _Rate = 0


@dataclass(frozen=True)
class _LimitsDocument:
    max_header_bytes: PositiveByteCount = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: ByteCount = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: PositiveMilliseconds = (
        _DEFAULT_LIMITS.header_timeout / _MILLISECOND
    )
    idle_timeout_ms: Milliseconds = _DEFAULT_LIMITS.idle_timeout / _MILLISECOND


@dataclass(frozen=True)
class _ConfigurationDocument:
    version: WholeNumber
    routes: tuple[_RouteDocument, ...] = ()
    services: tuple[_ServiceDocument, ...] = ()
    limits: _LimitsDocument = field(default_factory=_LimitsDocument)


_DECODER = DocumentDecoder(_ConfigurationDocument, MAX_VALUE_BYTES)


def is_used_key(key: str) -> bool:
    """Return whether a key holds the configuration, an order or a searcher's entry."""
    return (
        key == CONFIGURATION_KEY
        or searcher_id_from_key(key) is not None
        or is_evacuation_key(key)
    )


def evacuated_domain_from_key(key: str) -> str | None:
    """Return the failure domain whose evacuation `key` orders, else None.

    The order is the key; its value does not matter.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    domain = key[len(_EVACUATION_PREFIX) :]
    return domain if 0 < len(domain) <= MAX_DOMAIN_LENGTH else None


def is_evacuation_key(key: str) -> bool:
    """Return whether a key orders the evacuation of a failure domain."""
    return evacuated_domain_from_key(key) is not None


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
    decoded = _DECODER.decode(value, CONFIGURATION_KEY)
    if decoded.is_err():
        return decoded
    document = decoded.unwrap()
    for index, route in enumerate(document.routes):
        problem = _find_problem(route)
        if problem is not None:
            parameter = f"{CONFIGURATION_KEY}.routes[{index}].{problem.parameter}"
            return Err(replace(problem, parameter=parameter))
    return Ok(_to_configuration(document))


def _find_problem(route: _RouteDocument) -> ValidationProblem | None:
    """Return the problem of a route that the types of its fields leave open."""
    prefix = route.path_prefix
    if prefix[:1] != "/" or prefix[-1] != "/":
        found, expected = describe_value(prefix), "a slash at both ends"
        return ValidationProblem("path_prefix", found, expected)
    for index, backend in enumerate(route.weighted_backends):
        if not (backend.service or backend.name):
            parameter = f"weighted_backends[{index}]"
            return ValidationProblem(parameter, "''", "the name of a service")
    shards = set(route.gather)
    if len(shards) < len(route.gather) or "" in shards:
        (frequent, _), *_ = Counter(route.gather).most_common(1)
        found = "''" if "" in shards else describe_value(frequent)
        return ValidationProblem("gather", found, "the name of each service once")
    return None


def _to_configuration(document: _ConfigurationDocument) -> Configuration:
    limits = document.limits
    return Configuration(
        version=document.version,
        routes=tuple(_route(route) for route in document.routes),
        services=tuple(
            Service(item.name, item.max_conns, item.warmup_per_s)
            for item in document.services
        ),
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            timedelta(milliseconds=limits.header_timeout_ms),
            timedelta(milliseconds=limits.idle_timeout_ms),
        ),
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
    return OneService(document.service or "")

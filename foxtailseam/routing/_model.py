"""Data classes of the operator's configuration."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class OneService:
    """Destination of a route whose requests go to one searcher of one service."""

    service: str


@dataclass(frozen=True, slots=True)
class WeightedServices:
    """Destination of a route whose requests are distributed over several services.

    Parameters
    ----------
    weights : tuple of (str, float)
        Name and weight of each service, as configured; only the ratios of the
        weights matter.
    """

    weights: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class AllShards:
    """Destination of a route whose queries go to one searcher of each shard.

    Parameters
    ----------
    shards : tuple of str
        Names of the services that hold the shards of one index version.
    top_k : int
        Maximum number of records in the response.
    min_share : float
        Minimum fraction of the shards in a successful response, 0 to 1.
    """

    shards: tuple[str, ...]
    top_k: int
    min_share: float

    @property
    def min_shards(self) -> int:
        """Return the minimum number of shards in a successful response, at least 1."""
        total = len(self.shards)
        count = max(1, round(self.min_share * total))
        while count < total and count / total < self.min_share - 1e-9:
            count += 1
        while count > 1 and (count - 1) / total >= self.min_share - 1e-9:
            count -= 1
        return count


Destination = OneService | WeightedServices | AllShards


@dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests with one host name and path prefix.

    Parameters
    ----------
    name : str
        Name of the route, unique in a configuration.
    host : str
        Host name in lower case, without a port.
    prefix : str
        Prefix of the path, with a slash at both ends.
    idempotent : bool
        Whether a request may run more than once.
    timeout : timedelta
        Maximum time until the final response.
    latency_goal : timedelta
        Target response time at the caller.
    max_attempts : int
        Maximum number of searchers that may run one request, for each shard; those
        that it did not reach or that rejected it do not count.
    priority : int
        Priority in queues and at admission; lower numbers are served first.
    destination : Destination
        Service or services that the requests are sent to.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: timedelta
    latency_goal: timedelta
    max_attempts: int
    priority: int
    destination: Destination


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable searchers.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one searcher accepts from all hosts together; 0 if
        not configured.
    warmup_rate : float
        Requests per second that a cold searcher accepts from all hosts together; 0 for
        no bound.
    """

    name: str
    max_connections: int
    warmup_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits on callers' requests.

    Parameters
    ----------
    header_bytes : int
        Maximum size of a request header in bytes.
    body_bytes : int
        Maximum size of a request body in bytes.
    header_timeout : timedelta
        Maximum time from the first byte of a request header to its end.
    idle_timeout : timedelta
        Maximum time between two requests on one connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits

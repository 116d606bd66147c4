"""The configuration as typed values."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class OneService:
    """A request goes to one searcher of one service."""

    service: str


@dataclass(frozen=True, slots=True)
class WeightedServices:
    """A request goes to one of several services.

    Parameters
    ----------
    parts : tuple of (str, float)
        Service and weight, both as configured.
    """

    parts: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class AllShards:
    """A query goes to one searcher of each shard.

    Parameters
    ----------
    shards : tuple of str
        The services that hold the shards of one index version.
    top_k : int
        Records in the answer.
    least_share : float
        Share of the shards that a success includes at least, 0 to 1.
    """

    shards: tuple[str, ...]
    top_k: int
    min_share: float

    @property
    def min_shards(self) -> int:
        """Return how many shards a success includes at least."""
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
    """Where requests of one host name and path prefix go.

    Parameters
    ----------
    name : str
        Unique in a configuration.
    host : str
        Host name in small letters, without a port.
    prefix : str
        Begin of the path, with a slash at both ends.
    idempotent : bool
        Whether a request may run more than once.
    timeout : timedelta
        Longest time until the final answer.
    latency_goal : timedelta
        Time within which an answer is worth most.
    max_attempts : int
        Most searchers that one request is sent to, for each shard.
    priority : int
        Rank in a queue; 0 goes first.
    destination : Destination
        Where requests go.
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
    """A set of searchers that answer alike.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one searcher accepts from all callers together.
    """

    name: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    Parameters
    ----------
    header_bytes : int
        Largest request header.
    body_bytes : int
        Largest request body.
    header_timeout : timedelta
        Longest time from the first byte of a header to its end.
    idle_timeout : timedelta
        Longest time between two requests of one connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what operators configured."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits

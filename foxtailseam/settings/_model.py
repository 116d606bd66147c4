"""The settings of one process."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum


class Role(StrEnum):
    """What a process does."""

    ENTRY = "entry"
    GATHER = "gather"


class Routing(StrEnum):
    """Which gather sends a sub-request."""

    OWNER = "owner"
    LOCAL = "local"


@dataclass(frozen=True)
class ProcessSettings:
    """Identity and addresses of the process.

    Parameters
    ----------
    role : Role
        What the process does.
    name : str
        Unique on its host.
    host : str
        Name of the host, as in the platform's list.
    failure_domain : str
        The failure domain of the host.
    peers : str
        ``IP:PORT`` where it serves the system's other processes.
    operators : str
        ``IP:PORT`` where it serves operators.
    """

    role: Role
    name: str
    host: str
    failure_domain: str
    peers: str
    operators: str


@dataclass(frozen=True)
class PlatformSettings:
    """The platform's configuration service.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout : timedelta
        Bound on one read.
    watchers : int
        Processes of each failure domain that hold a watch.
    watch_wait : timedelta
        How long one watch may wait.
    poll_interval : timedelta
        Least time between two reads of one value by a process without a watch.
    read_rate : int
        Reads a second that all polls of the fleet may take together.
    """

    address: str
    timeout: timedelta = timedelta(seconds=1)
    watchers: int = 2
    watch_wait: timedelta = timedelta(seconds=10)
    poll_interval: timedelta = timedelta(seconds=1)
    read_rate: int = 200


@dataclass(frozen=True)
class PeerSettings:
    """Exchange of state with the system's other processes.

    Parameters
    ----------
    seeds : tuple of str
        ``IP:PORT`` of processes to ask before the list of hosts is known.
    interval : timedelta
        Time between two rounds of exchange.
    round_peers : int
        Peers asked in each round.
    fanout : int
        Peers told at once of news.
    timeout : timedelta
        Bound on one exchange; a peer that takes longer is suspect.
    pause : timedelta
        Gap on the own clock after which everything known is distrusted.
    """

    seeds: tuple[str, ...] = ()
    interval: timedelta = timedelta(seconds=1)
    round_peers: int = 2
    fanout: int = 4
    timeout: timedelta = timedelta(milliseconds=400)
    pause: timedelta = timedelta(seconds=1)


@dataclass(frozen=True)
class EntrySettings:
    """An entry process.

    Parameters
    ----------
    callers : str
        ``IP:PORT`` where it serves callers.
    body_limit : int
        Largest request body, in bytes.
    read_timeout : timedelta
        Bound on a caller's silence while it sends a request.
    ticket_life : timedelta
        How long a ticket may start after it was given out.
    routing : Routing
        ``owner`` sends a sub-request through the gather that owns the shard,
        ``local`` through the one on the entry's own host.
    queue_share : float
        Share of the deadline that sub-requests may wait for a slot before
        fewer requests are admitted, 0 to 1.
    """

    callers: str = "127.0.0.1:8000"
    body_limit: int = 65_536
    read_timeout: timedelta = timedelta(seconds=5)
    ticket_life: timedelta = timedelta(seconds=60)
    routing: Routing = Routing.OWNER
    queue_share: float = 0.1


@dataclass(frozen=True)
class GatherSettings:
    """A gather process.

    Parameters
    ----------
    slot_share : float
        Share of a searcher's slots that this process takes, 0 to 1.
    in_transit : int
        Requests sent to a searcher beyond its slots. They fill the time that
        answers and requests are on their way, in which a slot would be idle.
    """

    slot_share: float = 1.0
    in_transit: int = 2


@dataclass(frozen=True)
class ShutdownSettings:
    """A graceful shutdown.

    Parameters
    ----------
    balancer_lag : timedelta
        How long new requests are still served after SIGTERM.
    bound : timedelta
        Longest wait for requests in flight after that.
    """

    balancer_lag: timedelta = timedelta(seconds=2)
    bound: timedelta = timedelta(seconds=30)


@dataclass(frozen=True)
class LogSettings:
    """Log output: ``debug``, ``info``, ``warning`` or ``error``."""

    level: str = "info"


@dataclass(frozen=True)
class Settings:
    """All settings of one process."""

    process: ProcessSettings
    platform: PlatformSettings
    peers: PeerSettings = field(default_factory=PeerSettings)
    entry: EntrySettings = field(default_factory=EntrySettings)
    gather: GatherSettings = field(default_factory=GatherSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
    log: LogSettings = field(default_factory=LogSettings)

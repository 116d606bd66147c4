"""The settings of one process."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum


class Role(StrEnum):
    """The role of a process in the query tier."""

    ENTRY = "entry"
    GATHER = "gather"


class Routing(StrEnum):
    """How an entry chooses the gather for a sub-request; see `EntrySettings`."""

    OWNER = "owner"
    LOCAL = "local"


@dataclass(frozen=True)
class ProcessSettings:
    """Identity and addresses of the process.

    Parameters
    ----------
    role : Role
        Role of the process, ``entry`` or ``gather``.
    name : str
        Name of the process, unique on its host.
    host : str
        Name of the host, as in the platform's list of hosts.
    failure_domain : str
        Name of the failure domain of the host.
    peers : str
        ``IP:PORT`` to listen on for other processes of the fleet.
    operators : str
        ``IP:PORT`` to listen on for operators.
    """

    role: Role
    name: str
    host: str
    failure_domain: str
    peers: str
    operators: str


@dataclass(frozen=True)
class PlatformSettings:
    """Access to the platform's configuration service.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the service.
    timeout : timedelta
        Timeout of one read, 10 ms to 60 s.
    watchers : int
        Number of processes in each failure domain that watch the service, 0 to
        100; the others poll it.
    watch_wait : timedelta
        How long the service may hold one watch request, at most 60 s.
    poll_interval : timedelta
        Minimum time between two polls of a value by one process, 0.1 s to 600 s.
    read_rate : int
        Maximum rate of all polls of the fleet together, 1 to 2000 reads per
        second.
    """

    address: str
    timeout: timedelta = timedelta(seconds=1)
    watchers: int = 2
    watch_wait: timedelta = timedelta(seconds=10)
    poll_interval: timedelta = timedelta(seconds=1)
    read_rate: int = 200


@dataclass(frozen=True)
class PeerSettings:
    """Exchange of state with the other processes of the fleet.

    Parameters
    ----------
    seeds : tuple of str
        ``IP:PORT`` of the processes to contact before the list of hosts is known.
    interval : timedelta
        Time between two rounds of exchanges, 50 ms to 60 s.
    round_peers : int
        Number of random peers to exchange with in each round, 1 to 64.
    fanout : int
        Number of random peers to exchange with immediately when the state of
        this process changes, 1 to 64.
    timeout : timedelta
        Timeout of one exchange, 10 ms to 10 s; a peer that exceeds it becomes
        suspect.
    pause : timedelta
        Time without progress of this process, 0.2 s to 60 s, after which it
        refreshes its state before it serves requests.
    """

    seeds: tuple[str, ...] = ()
    interval: timedelta = timedelta(seconds=1)
    round_peers: int = 2
    fanout: int = 4
    timeout: timedelta = timedelta(milliseconds=400)
    pause: timedelta = timedelta(seconds=1)


@dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry process.

    Parameters
    ----------
    callers : str
        ``IP:PORT`` to listen on for callers.
    body_limit : int
        Maximum size of a request body in bytes, 1024 to 16777216.
    read_timeout : timedelta
        How long a caller may pause while it sends a request, 0.1 s to 60 s.
    ticket_life : timedelta
        How long after its creation a ticket can be started, 1 s to 3600 s.
    routing : Routing
        ``owner`` sends a sub-request to the gather that owns the shard,
        ``local`` to a gather on the host of the entry.
    queue_share : float
        Fraction of the deadline, 0.01 to 1, that a sub-request may wait for a
        slot; with longer waits fewer requests are admitted.
    """

    callers: str = "127.0.0.1:8000"
    body_limit: int = 65_536
    read_timeout: timedelta = timedelta(seconds=5)
    ticket_life: timedelta = timedelta(seconds=60)
    routing: Routing = Routing.OWNER
    queue_share: float = 0.1


@dataclass(frozen=True)
class GatherSettings:
    """Settings of a gather process.

    Parameters
    ----------
    slot_share : float
        Fraction of each searcher's slots that this process uses, 0.01 to 1.
    in_transit : int
        Number of requests to send to a searcher beyond its slots, 0 to 8. They
        keep the slots busy while requests and answers are in transit.
    """

    slot_share: float = 1.0
    in_transit: int = 2


@dataclass(frozen=True)
class ShutdownSettings:
    """Settings of a graceful shutdown.

    Parameters
    ----------
    balancer_lag : timedelta
        How long new requests are still served after SIGTERM, at most 60 s; the load
        balancer needs this time to stop sending them.
    bound : timedelta
        Maximum wait for requests in flight after that, 0.1 s to 600 s.
    """

    balancer_lag: timedelta = timedelta(seconds=2)
    bound: timedelta = timedelta(seconds=30)


@dataclass(frozen=True)
class LogSettings:
    """Settings of the log.

    Parameters
    ----------
    level : str
        Minimum severity: ``debug``, ``info``, ``warning`` or ``error``.
    """

    level: str = "info"


@dataclass(frozen=True)
class Settings:
    """All settings of one process, by section.

    Parameters
    ----------
    process : ProcessSettings
        Identity and addresses of the process.
    platform : PlatformSettings
        Access to the platform's configuration service.
    peers : PeerSettings
        Exchange of state with other processes.
    entry : EntrySettings
        Settings of an entry process.
    gather : GatherSettings
        Settings of a gather process.
    shutdown : ShutdownSettings
        Settings of a graceful shutdown.
    log : LogSettings
        Settings of the log.
    """

    process: ProcessSettings
    platform: PlatformSettings
    peers: PeerSettings = field(default_factory=PeerSettings)
    entry: EntrySettings = field(default_factory=EntrySettings)
    gather: GatherSettings = field(default_factory=GatherSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)
    log: LogSettings = field(default_factory=LogSettings)

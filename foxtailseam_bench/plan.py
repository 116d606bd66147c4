"""Descriptions of a deployment: its plan, its addresses and its replies."""

from dataclasses import dataclass, field

from foxtailseam_bench.searcher import SearcherBehaviour


@dataclass(frozen=True)
class FamilyPlan:
    """A service family of a deployment.

    Parameters
    ----------
    name : str
        Name of the service family.
    shards : int
        Number of shards.
    replicas : int
        Number of searchers of each shard.
    slots : int
        Concurrent requests of each searcher, as the snapshots state it.
    connections : int
        Connections that each searcher accepts, as the snapshots state it.
    """

    name: str
    shards: int = 2
    replicas: int = 2
    slots: int = 2
    connections: int = 25


@dataclass(frozen=True)
class DeploymentPlan:
    """The processes, rules and settings of a deployment.

    Parameters
    ----------
    families : tuple of FamilyPlan
        Service families.
    rules : str
        Content of the rules file that is published at the start.
    hosts : int
        Number of entry hosts, each with one entry process.
    gathers : int
        Number of gather processes of each host.
    failure_domains : tuple of str
        Names of failure domains, assigned to the hosts round-robin.
    behaviour : SearcherBehaviour
        Behaviour of every searcher at the start.
    searchers_per_process : int
        Searchers that share a process; with 1, each searcher can be killed alone.
    keep_runs : bool
        Whether searchers also write each run to a file, which outlives them.
    settings : dict
        Sections of settings that override those of every process.
    """

    families: tuple[FamilyPlan, ...]
    rules: str
    hosts: int = 2
    gathers: int = 1
    failure_domains: tuple[str, ...] = ("west", "central")
    behaviour: SearcherBehaviour = field(default_factory=SearcherBehaviour)
    searchers_per_process: int = 1
    keep_runs: bool = True
    settings: dict = field(default_factory=dict)


@dataclass(frozen=True)
class HostAddresses:
    """The name, failure domain and ``IP:PORT`` addresses of one entry host.

    Parameters
    ----------
    name, failure_domain : str
        As the list of hosts names them.
    callers : str
        Address of the entry for callers.
    entry, gathers : str, tuple of str
        Addresses of the entry and of each gather for their peers.
    entry_operators, gather_operators : str, tuple of str
        Addresses of the entry and of each gather for operators.
    """

    name: str
    failure_domain: str
    callers: str
    entry: str
    entry_operators: str
    gathers: tuple[str, ...]
    gather_operators: tuple[str, ...]


@dataclass(frozen=True)
class Reply:
    """An HTTP reply with its decoded JSON body, empty if the reply has none."""

    status: int
    headers: dict[str, str]
    body: dict

"""What a deployment consists of."""

from dataclasses import dataclass, field

from foxtailseam_bench.searcher import SearcherBehaviour


@dataclass(frozen=True)
class FamilyPlan:
    """A service family to set up.

    Parameters
    ----------
    name : str
        Service family.
    shards : int
        Number of shards.
    replicas : int
        Searchers of each shard.
    slots, connections : int
        What each searcher accepts.
    """

    name: str
    shards: int = 2
    replicas: int = 2
    slots: int = 2
    connections: int = 25


@dataclass(frozen=True)
class DeploymentPlan:
    """What to start.

    Parameters
    ----------
    families : tuple of FamilyPlan
        Service families.
    rules : str
        First rules file.
    hosts : int
        Entry hosts, each with one entry and one gather.
    gathers : int
        Gathers of each host.
    failure_domains : tuple of str
        Names, dealt to hosts in turn.
    behaviour : SearcherBehaviour
        Of every searcher at the start.
    searchers_per_process : int
        1 lets each searcher be killed alone.
    keep_runs : bool
        Searchers write their runs to files, which outlive them.
    settings : dict
        Sections that overlay the settings of every process.
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
    """Addresses of one entry host."""

    name: str
    failure_domain: str
    callers: str
    entry: str
    entry_operators: str
    gathers: tuple[str, ...]
    gather_operators: tuple[str, ...]


@dataclass(frozen=True)
class Reply:
    """An HTTP reply with its JSON body, if it has one."""

    status: int
    headers: dict[str, str]
    body: dict

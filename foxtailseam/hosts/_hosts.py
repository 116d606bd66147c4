"""The list of live and leaving hosts, as the platform publishes it."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

import msgspec
from result import Err, Ok, Result


class HostState(StrEnum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Host:
    """An entry host.

    Parameters
    ----------
    name : str
        Unique name.
    failure_domain : str
        The failure domain it stands in.
    state : HostState
        What the platform says.
    entry : str
        ``IP:PORT`` of the entry process, for peers.
    gathers : tuple of str
        ``IP:PORT`` of each gather process, for peers.
    """

    name: str
    failure_domain: str
    state: HostState
    entry: str
    gathers: tuple[str, ...]


@dataclass(frozen=True)
class HostList:
    """All entry hosts, and the searchers that are leaving.

    Parameters
    ----------
    hosts : tuple of Host
        The entry hosts.
    leaving_searchers : frozenset of str
        ``IP:PORT`` of each searcher that must get no new work.
    """

    hosts: tuple[Host, ...] = ()
    leaving_searchers: frozenset[str] = frozenset()

    @cached_property
    def gathers(self) -> tuple[str, ...]:
        """Return the gathers of live hosts."""
        return tuple(
            gather
            for host in self.hosts
            if host.state is HostState.LIVE
            for gather in host.gathers
        )

    @cached_property
    def processes(self) -> tuple[str, ...]:
        """Return the peer address of each process, leaving hosts included."""
        return tuple(
            address for host in self.hosts for address in (host.entry, *host.gathers)
        )

    def failure_domain(self, name: str) -> tuple[str, ...]:
        """Return the peer addresses of live hosts in one failure domain."""
        return tuple(
            address
            for host in self.hosts
            if host.failure_domain == name and host.state is HostState.LIVE
            for address in (host.entry, *host.gathers)
        )


def parse_hosts(text: str) -> Result[HostList, str]:
    """Parse the published JSON; an error names the field."""
    try:
        return Ok(msgspec.json.decode(text, type=HostList))
    except msgspec.MsgspecError as error:
        return Err(str(error))

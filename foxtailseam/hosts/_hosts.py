"""The list of live and leaving hosts, as published by the platform."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

import msgspec
from result import Err, Ok, Result


class HostState(StrEnum):
    """State of a host, set by the platform; a leaving host gets no new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedHost:
    """An entry host, as listed by the platform.

    Parameters
    ----------
    name : str
        Unique name of the host.
    failure_domain : str
        Name of the failure domain of the host.
    state : HostState
        State of the host.
    entry : str
        ``IP:PORT`` on which the entry process listens for its peers.
    gathers : tuple of str
        ``IP:PORT`` on which each gather process listens for its peers.
    """

    name: str
    failure_domain: str
    state: HostState
    entry: str
    gathers: tuple[str, ...]


@dataclass(frozen=True)
class HostList:
    """The entry hosts and the leaving searchers.

    Parameters
    ----------
    hosts : tuple of ListedHost
        All entry hosts, live and leaving.
    leaving_searchers : frozenset of str
        ``IP:PORT`` of each searcher that must not get new work.
    """

    hosts: tuple[ListedHost, ...] = ()
    leaving_searchers: frozenset[str] = frozenset()

    @cached_property
    def gathers(self) -> tuple[str, ...]:
        """Return the peer addresses of the gathers on live hosts."""
        return tuple(
            gather
            for host in self.hosts
            if host.state is HostState.LIVE
            for gather in host.gathers
        )

    @cached_property
    def processes(self) -> tuple[str, ...]:
        """Return the peer addresses of all processes, also on leaving hosts."""
        return tuple(
            address for host in self.hosts for address in (host.entry, *host.gathers)
        )

    def failure_domain(self, name: str) -> tuple[str, ...]:
        """Return the peer addresses of all processes on live hosts in a failure domain.

        Parameters
        ----------
        name : str
            Name of the failure domain.
        """
        return tuple(
            address
            for host in self.hosts
            if host.failure_domain == name and host.state is HostState.LIVE
            for address in (host.entry, *host.gathers)
        )


def parse_hosts(text: str) -> Result[HostList, str]:
    """Parse a published list of hosts.

    Parameters
    ----------
    text : str
        JSON object with the fields of `HostList`.

    Returns
    -------
    Result[HostList, str]
        The list, or an error message that names the invalid field.
    """
    try:
        return Ok(msgspec.json.decode(text, type=HostList))
    except msgspec.MsgspecError as error:
        return Err(str(error))

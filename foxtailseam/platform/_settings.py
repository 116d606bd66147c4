"""Decodes the settings file that the platform writes for each process."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

from msgspec import Meta
from result import Result

from foxtailseam.utils import (
    Address,
    DocumentDecoder,
    IpAddress,
    Milliseconds,
    PositiveCount,
    PositiveSeconds,
    Seconds,
    ValidationProblem,
    describe_value,
    is_address,
)

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FOXTAILSEAM_CONFIG"
# Longest settings file that is decoded.
MAX_SETTINGS_BYTES = 4_194_304
MAX_SEEDS = 100


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and retry limits that this system has to meet.

    Parameters
    ----------
    shutdown_grace : timedelta
        Time from SIGTERM to SIGKILL.
    searcher_drain : timedelta
        Time after a searcher's notice that it leaves in which it still serves.
    configuration_delay : timedelta
        Longest time from the acceptance of a configuration until all hosts use it.
    retry_ratio : float
        Extra requests to a service, such as retries, per request, in any
        `retry_window`.
    retry_window : timedelta
        Length of the window in which extra requests are counted.
    retry_slack : float
        Number of extra requests in a window that are allowed in addition to the ratio;
        all hosts share it.
    warmup_excess : float
        Factor on the requests per second to a cold searcher that no window of one
        second may exceed.
    warmup_slack : float
        Requests in such a window that are allowed in addition.
    """

    shutdown_grace: timedelta
    searcher_drain: timedelta
    configuration_delay: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_slack: float
    warmup_excess: float = 1.5
    warmup_slack: float = 5.0


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Resources that one process may use.

    Parameters
    ----------
    memory_mb : int
        Memory in megabytes.
    max_file_descriptors : int
        Number of open file descriptors.
    link_mbps : float
        Bandwidth of the host's link in megabits per second; 0 if unknown.
    cores : float
        Processor time in cores; 0 if unknown.
    """

    memory_mb: int
    max_file_descriptors: int
    link_mbps: float = 0.0
    cores: float = 0.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Identity, addresses and limits of one process.

    Parameters
    ----------
    name : str
        Name of the host.
    address : str
        IP address of the host.
    failure_domain : str
        Failure domain of the host.
    callers, readiness, peers : str
        ``IP:PORT`` to listen on for callers, for the readiness checks of the load
        balancer, and for the other hosts.
    seeds : tuple of str
        ``IP:PORT`` of some other hosts, used to join them; may be out of date.
    ignored_seeds : tuple of str
        Seeds in the file that are no addresses, cut short.
    service_address : str
        ``IP:PORT`` of the configuration service.
    limits : HostLimits
        Resources that the process may use.
    bounds : Bounds
        Time limits and retry limits that the system has to meet.
    is_joint_start : bool
        Whether all hosts start now for the first time.
    """

    name: str
    address: str
    failure_domain: str
    callers: str
    readiness: str
    peers: str
    seeds: tuple[str, ...]
    service_address: str
    limits: HostLimits
    bounds: Bounds
    is_joint_start: bool = False
    ignored_seeds: tuple[str, ...] = ()


@dataclass(frozen=True)
class _ListenAddresses:
    frontend: Address
    readiness: Address
    control_plane: Address


_Amount = Annotated[float, Meta(ge=0, le=1e9)]


@dataclass(frozen=True)
class _Limits:
    memory_mb: Annotated[float, Meta(ge=1, le=1e9)] = 300
    max_fds: PositiveCount = 1024
    link_mbps: _Amount = 0
    # Share of a core that is as fast as `cpu_cores` ordinary ones.
    cpu_share: _Amount = 0
    cpu_cores: _Amount = 1


@dataclass(frozen=True)
class _Bounds:
    grace_s: Seconds = 6
    drain_ms: Milliseconds = 3000
    config_apply_ms: Milliseconds = 3000
    # Extra requests allowed in a window: the ratio times the requests, plus the slack.
    retry_budget_ratio: Annotated[float, Meta(ge=0, le=1e6)] = 0.2
    retry_window_s: PositiveSeconds = 10
    retry_slack: Annotated[float, Meta(ge=0, le=1e9)] = 0
    warmup_excess: Annotated[float, Meta(ge=1, le=1e3)] = 1.5
    warmup_slack: Annotated[float, Meta(ge=0, le=1e6)] = 5


@dataclass(frozen=True)
class _Platform:
    address: Address


@dataclass(frozen=True)
class _SettingsDocument:
    node_name: str
    ip: IpAddress
    zone: str
    listen_addrs: _ListenAddresses
    platform: _Platform
    seeds: Annotated[tuple[str, ...], Meta(max_length=MAX_SEEDS)] = ()
    bootstrap: bool = False
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


_DECODER = DocumentDecoder(_SettingsDocument, MAX_SETTINGS_BYTES)


def decode_settings(text: bytes) -> Result[HostSettings, ValidationProblem]:
    """Decode the content of the settings file.

    Parameters
    ----------
    text : bytes
        JSON text; unknown fields are ignored.

    Returns
    -------
    Result
        The settings, or the problem with the file.
    """
    return _DECODER.decode(text, "settings").map(_to_settings)


def _to_settings(document: _SettingsDocument) -> HostSettings:
    bounds = document.bounds
    return HostSettings(
        name=document.node_name,
        address=document.ip,
        failure_domain=document.zone,
        callers=document.listen_addrs.frontend,
        readiness=document.listen_addrs.readiness,
        peers=document.listen_addrs.control_plane,
        seeds=tuple(filter(is_address, document.seeds)),
        service_address=document.platform.address,
        limits=_to_limits(document.limits),
        bounds=Bounds(
            shutdown_grace=timedelta(seconds=bounds.grace_s),
            searcher_drain=timedelta(milliseconds=bounds.drain_ms),
            configuration_delay=timedelta(milliseconds=bounds.config_apply_ms),
            retry_ratio=bounds.retry_budget_ratio,
            retry_window=timedelta(seconds=bounds.retry_window_s),
            retry_slack=bounds.retry_slack,
            warmup_excess=bounds.warmup_excess,
            warmup_slack=bounds.warmup_slack,
        ),
        is_joint_start=document.bootstrap,
        ignored_seeds=tuple(
            describe_value(seed) for seed in document.seeds if not is_address(seed)
        ),
    )


def _to_limits(limits: _Limits) -> HostLimits:
    return HostLimits(
        int(limits.memory_mb),
        limits.max_fds,
        limits.link_mbps,
        limits.cpu_share * limits.cpu_cores,
    )

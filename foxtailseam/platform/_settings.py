"""The settings file that the platform writes for each process."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from foxtailseam.utils import ValidationProblem

SETTINGS_VARIABLE = "FOXTAILSEAM_CONFIG"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times and shares that the users hold us to.

    Parameters
    ----------
    shutdown_grace : timedelta
        From SIGTERM to SIGKILL.
    configuration_delay : timedelta
        From the acceptance of a configuration to its being in force everywhere.
    retry_ratio : float
        Extra arrivals at a service for each request, in any `retry_window`.
    retry_window : timedelta
        Length of that window.
    retry_slack : float
        Extra arrivals in a window beside the ratio; all hosts share it.
    """

    shutdown_grace: timedelta
    configuration_delay: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_slack: float


@dataclass(frozen=True, slots=True)
class HostLimits:
    """What one process may use."""

    memory_mb: int
    max_file_descriptors: int


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
        ``IP:PORT`` to listen on for callers, for the balancer's question
        whether the host is ready, and for the other hosts.
    seeds : tuple of str
        Addresses of some hosts for peers; may be out of date.
    service_address : str
        ``IP:PORT`` of the configuration service.
    limits : HostLimits
        What the process may use.
    bounds : Bounds
        What the users hold us to.
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


@dataclass(frozen=True)
class _Listen:
    frontend: str
    readiness: str
    control_plane: str = ""


@dataclass(frozen=True)
class _Limits:
    memory_mb: float = 300
    max_fds: int = 1024


@dataclass(frozen=True)
class _Bounds:
    grace_s: float = 6
    config_apply_ms: float = 3000
    # Extra arrivals in a window: the ratio times the requests, plus the slack.
    retry_budget_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 0


@dataclass(frozen=True)
class _Platform:
    address: str


@dataclass(frozen=True)
class _Document:
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Listen
    platform: _Platform
    seeds: tuple[str, ...] = ()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


_DECODER = msgspec.json.Decoder(_Document)


def decode_settings(text: bytes) -> Result[HostSettings, ValidationProblem]:
    """Decode the settings file; fields that are not known here are ignored."""
    try:
        found = _DECODER.decode(text)
    except msgspec.MsgspecError as error:
        return Err(ValidationProblem("settings", str(error), "the platform's format"))
    bounds = found.bounds
    return Ok(
        HostSettings(
            name=found.node_name,
            address=found.ip,
            failure_domain=found.zone,
            callers=found.listen_addrs.frontend,
            readiness=found.listen_addrs.readiness,
            peers=found.listen_addrs.control_plane,
            seeds=found.seeds,
            service_address=found.platform.address,
            limits=HostLimits(int(found.limits.memory_mb), found.limits.max_fds),
            bounds=Bounds(
                shutdown_grace=timedelta(seconds=bounds.grace_s),
                configuration_delay=timedelta(milliseconds=bounds.config_apply_ms),
                retry_ratio=bounds.retry_budget_ratio,
                retry_window=timedelta(seconds=bounds.retry_window_s),
                retry_slack=bounds.retry_slack,
            ),
        )
    )

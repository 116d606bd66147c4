"""Validation of the format and range of all settings."""

import re
from collections.abc import Iterable

from foxtailseam.settings._model import Settings
from foxtailseam.utils import ValidationProblem, check_range, check_unique

_ADDRESS = re.compile(r"(?:[0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,5}")
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_LEVELS = ("debug", "info", "warning", "error")


def check_settings(settings: Settings) -> list[ValidationProblem]:
    """Validate all settings.

    Parameters
    ----------
    settings : Settings
        The settings, with values of the right types.

    Returns
    -------
    list of ValidationProblem
        All problems found; empty if the settings are valid.
    """
    return [
        *_check_process(settings),
        *_check_addresses(settings),
        *_check_durations(settings),
        *_check_counts(settings),
        *_check_log(settings),
    ]


def _check_process(settings: Settings) -> Iterable[ValidationProblem]:
    process = settings.process
    names = {
        "process.name": process.name,
        "process.host": process.host,
        "process.failure_domain": process.failure_domain,
    }
    expected = "1 to 63 lowercase letters, digits, - and ."
    for parameter, value in names.items():
        if _NAME.fullmatch(value) is None:
            yield ValidationProblem(parameter, repr(value), expected)


def _check_addresses(settings: Settings) -> Iterable[ValidationProblem]:
    addresses = [
        ("process.peers", settings.process.peers),
        ("process.operators", settings.process.operators),
        ("platform.address", settings.platform.address),
        ("entry.callers", settings.entry.callers),
        *(("peers.seeds", seed) for seed in settings.peers.seeds),
    ]
    for parameter, value in addresses:
        if not _is_address(value):
            yield ValidationProblem(
                parameter, repr(value), "IP:PORT with a numeric IPv4 address"
            )
    yield from check_unique("peers.seeds", settings.peers.seeds)


def _is_address(text: str) -> bool:
    if _ADDRESS.fullmatch(text) is None:
        return False
    ip, _, port = text.rpartition(":")
    is_ip = all(int(part) <= 255 for part in ip.split("."))
    return is_ip and 1 <= int(port) <= 65_535


def _check_durations(settings: Settings) -> Iterable[ValidationProblem]:
    ranges = (
        ("platform.timeout", settings.platform.timeout, 0.01, 60),
        ("platform.watch_wait", settings.platform.watch_wait, 0, 60),
        ("platform.poll_interval", settings.platform.poll_interval, 0.1, 600),
        ("peers.interval", settings.peers.interval, 0.05, 60),
        ("peers.timeout", settings.peers.timeout, 0.01, 10),
        ("peers.pause", settings.peers.pause, 0.2, 60),
        ("entry.read_timeout", settings.entry.read_timeout, 0.1, 60),
        ("entry.ticket_life", settings.entry.ticket_life, 1, 3600),
        ("shutdown.balancer_lag", settings.shutdown.balancer_lag, 0, 60),
        ("shutdown.bound", settings.shutdown.bound, 0.1, 600),
    )
    for parameter, value, low, high in ranges:
        yield from check_range(f"{parameter} (s)", value.total_seconds(), low, high)


def _check_counts(settings: Settings) -> Iterable[ValidationProblem]:
    ranges = (
        ("platform.watchers", settings.platform.watchers, 0, 100),
        ("platform.read_rate", settings.platform.read_rate, 1, 2000),
        ("peers.round_peers", settings.peers.round_peers, 1, 64),
        ("peers.fanout", settings.peers.fanout, 1, 64),
        ("entry.body_limit", settings.entry.body_limit, 1024, 1 << 24),
        ("entry.queue_share", settings.entry.queue_share, 0.01, 1),
        ("gather.slot_share", settings.gather.slot_share, 0.01, 1),
        ("gather.in_transit", settings.gather.in_transit, 0, 8),
    )
    for parameter, value, low, high in ranges:
        yield from check_range(parameter, value, low, high)


def _check_log(settings: Settings) -> Iterable[ValidationProblem]:
    level = settings.log.level
    if level not in _LEVELS:
        yield ValidationProblem("log.level", repr(level), " or ".join(_LEVELS))

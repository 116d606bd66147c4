"""Searchers' entries in the configuration service."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.utils import ValidationProblem

_PREFIX = "servers/"
_STATES = {"ready": False, "draining": True}


@dataclass(frozen=True)
class _Entry:
    service: str
    address: str
    zone: str
    max_concurrency: int
    state: str
    # Time that the searcher stays slow after its start, not a time of the system.
    warmup_left_ms: float = 0
    born: int = 0


_DECODER = msgspec.json.Decoder(_Entry)


def searcher_id_from_key(key: str) -> str | None:
    """Return the searcher that a key belongs to; None for other keys."""
    return key[len(_PREFIX) :] if key.startswith(_PREFIX) else None


def decode_entry(
    identifier: str, value: bytes
) -> Result[SearcherEntry, ValidationProblem]:
    """Decode a searcher's entry; an error for one that names no searcher."""
    parameter = _PREFIX + identifier
    try:
        found = _DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(ValidationProblem(parameter, str(error), "a searcher's entry"))
    is_draining = _STATES.get(found.state)
    if is_draining is None:
        return Err(ValidationProblem(parameter, repr(found.state), "a known state"))
    if not _is_address(found.address):
        return Err(ValidationProblem(parameter, repr(found.address), "IP:PORT"))
    if found.max_concurrency < 1 or not found.service or not identifier:
        return Err(ValidationProblem(parameter, "an empty field", "all fields"))
    return Ok(
        SearcherEntry(
            identifier=identifier,
            service=found.service,
            address=found.address,
            failure_domain=found.zone,
            slots=found.max_concurrency,
            is_draining=is_draining,
            warmup=timedelta(milliseconds=max(0.0, found.warmup_left_ms)),
            started_ms=found.born,
        )
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    is_host = len(parts) == 4 and all(
        part.isascii() and part.isdigit() and int(part) < 256 for part in parts
    )
    is_port = port.isascii() and port.isdigit() and 0 < int(port) < 65_536
    return is_host and is_port

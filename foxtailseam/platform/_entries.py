"""Decodes the entries of searchers in the configuration service."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.utils import ValidationProblem

_PREFIX = "servers/"
_STATES = {"ready": False, "draining": True}


@dataclass(frozen=True)
class _EntryDocument:
    service: str
    address: str
    zone: str
    max_concurrency: int
    state: str
    # How much longer the searcher is slow after its start; not enforced as a timeout.
    warmup_left_ms: float = 0
    born: int = 0
    sequence: int = 0


_DECODER = msgspec.json.Decoder(_EntryDocument)


def searcher_id_from_key(key: str) -> str | None:
    """Return the identifier of the searcher whose entry `key` holds, else None."""
    return key[len(_PREFIX) :] if key.startswith(_PREFIX) else None


def decode_entry(
    identifier: str, value: bytes
) -> Result[SearcherEntry, ValidationProblem]:
    """Decode the entry of a searcher.

    Parameters
    ----------
    identifier : str
        Identifier of the searcher, from the key of the entry.
    value : bytes
        JSON text; unknown fields are ignored.

    Returns
    -------
    Result
        The entry, or the reason why it does not describe a usable searcher.
    """
    parameter = _PREFIX + identifier
    try:
        document = _DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(ValidationProblem(parameter, str(error), "a valid searcher entry"))
    is_draining = _STATES.get(document.state)
    if is_draining is None:
        return Err(
            ValidationProblem(parameter, repr(document.state), "ready or draining")
        )
    if not _is_address(document.address):
        return Err(ValidationProblem(parameter, repr(document.address), "IP:PORT"))
    if document.max_concurrency < 1 or not document.service or not identifier:
        return Err(
            ValidationProblem(
                parameter,
                "an empty identifier or service, or a max_concurrency below 1",
                "an identifier, a service and a max_concurrency of at least 1",
            )
        )
    return Ok(
        SearcherEntry(
            identifier=identifier,
            service=document.service,
            address=document.address,
            failure_domain=document.zone,
            slots=document.max_concurrency,
            is_draining=is_draining,
            warmup=timedelta(milliseconds=max(0.0, document.warmup_left_ms)),
            started_ms=document.born,
            sequence=document.sequence,
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

"""Decodes the entries of searchers in the configuration service."""

import re
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from functools import partial

from result import Err, Result

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.utils import (
    Address,
    DocumentDecoder,
    Name,
    PositiveCount,
    SignedMilliseconds,
    ValidationProblem,
    WholeNumber,
    describe_value,
    shorten,
)

# Longest value that is decoded; the store holds shorter ones only.
MAX_VALUE_BYTES = 4_194_304
_PREFIX = "servers/"
# Identifiers are sent in a header.
_IDENTIFIER = re.compile(r"^[!-~]{1,200}\Z")
IDENTIFIER_RULE = "1 to 200 visible ASCII characters"


class _State(Enum):
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class _EntryDocument:
    service: Name
    address: Address
    zone: str
    max_concurrency: PositiveCount
    state: _State
    # How much longer the searcher is slow after its start; not enforced as a timeout.
    warmup_left_ms: SignedMilliseconds = 0
    born: WholeNumber = 0
    sequence: WholeNumber = 0


_DECODER = DocumentDecoder(_EntryDocument, MAX_VALUE_BYTES)


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
    key = _PREFIX + identifier
    if not _IDENTIFIER.search(identifier):
        found = describe_value(identifier)
        return Err(ValidationProblem(shorten(key), found, IDENTIFIER_RULE))
    return _DECODER.decode(value, key).map(partial(_to_entry, identifier))


def _to_entry(identifier: str, document: _EntryDocument) -> SearcherEntry:
    return SearcherEntry(
        identifier=identifier,
        service=document.service,
        address=document.address,
        failure_domain=document.zone,
        slots=document.max_concurrency,
        is_draining=document.state is _State.DRAINING,
        warmup=timedelta(milliseconds=max(0.0, document.warmup_left_ms)),
        started_ms=document.born,
        sequence=document.sequence,
    )

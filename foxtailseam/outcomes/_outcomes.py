"""The closed set of outcomes of a caller's request."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from foxtailseam.outcomes._coverage import Coverage
from foxtailseam.outcomes._sub_answers import Hit


class RefusalReason(StrEnum):
    """Why a request was refused without being run."""

    NOT_READY = "not-ready"
    UNKNOWN_FAMILY = "unknown-family"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    NOT_REPEATABLE = "not-repeatable"
    REPEATABLE = "repeatable"
    TICKET_EXPIRED = "ticket-expired"
    NO_SEARCHER = "no-searcher"
    SHED = "shed"


@dataclass(frozen=True, slots=True)
class Complete:
    """Every shard of the pinned map is included."""

    request_id: str
    index_version: int
    coverage: Coverage
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class Partial:
    """Some shards are lacking; `sufficient` tells whether the rules allow that."""

    request_id: str
    index_version: int
    coverage: Coverage
    hits: tuple[Hit, ...]
    sufficient: bool


@dataclass(frozen=True, slots=True)
class Accepted:
    """A request that may not be repeated was run, once."""

    request_id: str
    receipt: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run and will not be.

    `retry_after` is when to come back; None if the same request cannot succeed.
    """

    request_id: str
    reason: RefusalReason
    retry_after: timedelta | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; `detail` says what is known."""

    request_id: str
    detail: str


Outcome = Complete | Partial | Accepted | Refused | Unknown

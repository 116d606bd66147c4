"""The possible outcomes of a caller's request."""

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
    """Outcome of a search whose answer includes every shard of the pinned map."""

    request_id: str
    index_version: int
    coverage: Coverage
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class Partial:
    """Outcome of a search whose answer lacks some shards of the pinned map.

    `sufficient` tells whether the coverage meets the minimum set in the rules.
    """

    request_id: str
    index_version: int
    coverage: Coverage
    hits: tuple[Hit, ...]
    sufficient: bool


@dataclass(frozen=True, slots=True)
class Accepted:
    """Outcome of a request that must not be repeated and was run exactly once."""

    request_id: str
    receipt: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Outcome of a request that was not run and never will be.

    `retry_after` is the delay before a retry; None if the same request cannot
    succeed.
    """

    request_id: str
    reason: RefusalReason
    retry_after: timedelta | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a request that may have run or not; `detail` says what is known."""

    request_id: str
    detail: str


Outcome = Complete | Partial | Accepted | Refused | Unknown

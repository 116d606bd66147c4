"""Messages between processes. Durations are in milliseconds."""

from dataclasses import dataclass
from enum import StrEnum

from foxtailseam.clocks import HybridTimestamp
from foxtailseam.configuration import Revision, RulesDifference
from foxtailseam.outcomes import SubAnswer
from foxtailseam.publications import Publication
from foxtailseam.quarantine import SuspicionNotice
from foxtailseam.searchers import LeavingNotice
from foxtailseam.snapshots import Shard


@dataclass(frozen=True, slots=True)
class Envelope:
    """State of the sender that rides on every message.

    Parameters
    ----------
    stamp : HybridTimestamp
        Hybrid time of sending.
    sender : str
        ``IP:PORT`` where the sender serves its peers.
    incarnation : str
        Identifier of this run of the sender.
    draining : bool
        The sender is leaving and wants no new work.
    rules, snapshots, hosts : Revision
        What the sender has in force.
    """

    stamp: HybridTimestamp
    sender: str
    incarnation: str
    draining: bool
    rules: Revision
    snapshots: Revision
    hosts: Revision


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Soft state sent to a peer."""

    envelope: Envelope
    suspicions: tuple[SuspicionNotice, ...]
    leaving: tuple[LeavingNotice, ...]


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Soft state of the peer."""

    envelope: Envelope
    suspicions: tuple[SuspicionNotice, ...]
    leaving: tuple[LeavingNotice, ...]


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Asks for all that is newer than what the envelope names."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class PullReply:
    """What the asking process lacks."""

    envelope: Envelope
    rules: RulesDifference | None
    snapshots: Publication | None
    hosts: Publication | None


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """All sub-requests of one query that one gather owns.

    `query_shards` is the number of shards that the whole query asks.
    """

    envelope: Envelope
    request_id: str
    family: str
    index_version: int
    query: str
    remaining_ms: float
    shards: tuple[Shard, ...]
    query_shards: int
    slots: int
    connections: int
    suspect: bool


@dataclass(frozen=True, slots=True)
class SearchReply:
    """The sub-answers, one for each shard asked.

    `queue_delay_ms` is the longest time that a sub-request waited for a slot.
    """

    envelope: Envelope
    request_id: str
    answers: tuple[SubAnswer, ...]
    queue_delay_ms: float


class SubmitStatus(StrEnum):
    """What is known of a request that may not be repeated."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """A request that may not be repeated, for one shard."""

    envelope: Envelope
    request_id: str
    family: str
    body: str
    remaining_ms: float
    shard: Shard
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class SubmitReply:
    """What became of it; `detail` is the receipt or the reason."""

    envelope: Envelope
    request_id: str
    status: SubmitStatus
    detail: str


class TicketStatus(StrEnum):
    """Outcome of a forwarded ticket."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """A caller's request, forwarded to the entry that minted its ticket."""

    envelope: Envelope
    request_id: str
    ticket: str
    family: str
    key: str
    body: str


@dataclass(frozen=True, slots=True)
class TicketReply:
    """The outcome; `detail` is the receipt, the refusal's reason, or what is known."""

    envelope: Envelope
    status: TicketStatus
    detail: str
    retry_after_ms: int | None

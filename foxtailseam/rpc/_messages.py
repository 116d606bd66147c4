"""Messages between processes, encoded under their field names.

Durations are in milliseconds.
"""

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
    """State of the sender, included in every message.

    Parameters
    ----------
    stamp : HybridTimestamp
        Hybrid logical time of sending.
    sender : str
        ``IP:PORT`` on which the sender serves its peers.
    incarnation : str
        Identifier of the current run of the sender's process.
    draining : bool
        Whether the sender is shutting down and takes no new work.
    rules, snapshots, hosts : Revision
        Revisions of the published values that the sender uses.
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
    """Request to merge the sender's soft state.

    Parameters
    ----------
    envelope : Envelope
        State of the sender.
    suspicions : tuple of SuspicionNotice
        Requests that the sender knows to be suspected of crashing searchers.
    leaving : tuple of LeavingNotice
        Searchers that the sender knows to be leaving.
    """

    envelope: Envelope
    suspicions: tuple[SuspicionNotice, ...]
    leaving: tuple[LeavingNotice, ...]


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Reply to `ExchangeRequest` with the soft state of the peer.

    Parameters
    ----------
    envelope : Envelope
        State of the peer.
    suspicions : tuple of SuspicionNotice
        Requests that the peer knows to be suspected of crashing searchers.
    leaving : tuple of LeavingNotice
        Searchers that the peer knows to be leaving.
    """

    envelope: Envelope
    suspicions: tuple[SuspicionNotice, ...]
    leaving: tuple[LeavingNotice, ...]


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Request for published values newer than the revisions in the envelope.

    Parameters
    ----------
    envelope : Envelope
        State of the sender, with its revisions.
    """

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class PullReply:
    """Reply to `PullRequest`; a value is None if the peer has no newer one.

    Parameters
    ----------
    envelope : Envelope
        State of the peer.
    rules : RulesDifference or None
        Changes of the rules since the requested revision.
    snapshots, hosts : Publication or None
        The whole published value.
    """

    envelope: Envelope
    rules: RulesDifference | None
    snapshots: Publication | None
    hosts: Publication | None


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Request to run the sub-requests of one query that a gather is assigned.

    Parameters
    ----------
    envelope : Envelope
        State of the sender.
    request_id : str
        Identifier of the query.
    family : str
        Service family of the query.
    index_version : int
        Index version that the searchers must use.
    query : str
        Text of the query.
    remaining_ms : float
        Time until the deadline, in milliseconds.
    shards : tuple of Shard
        Shards to search, with one sub-request each.
    query_shards : int
        Number of shards of the whole query, over all gathers.
    slots : int
        Requests that one searcher runs at a time.
    connections : int
        Connections that one searcher accepts, over all hosts.
    suspect : bool
        Whether the query is suspected of crashing searchers.
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
    """Reply to `SearchRequest`.

    Parameters
    ----------
    envelope : Envelope
        State of the gather.
    request_id : str
        Identifier of the query.
    answers : tuple of SubAnswer
        Sub-answers, one for each requested shard.
    queue_delay_ms : float
        Longest time that a sub-request waited for a slot, in milliseconds.
    """

    envelope: Envelope
    request_id: str
    answers: tuple[SubAnswer, ...]
    queue_delay_ms: float


class SubmitStatus(StrEnum):
    """Whether a non-repeatable request was run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class SubmitRequest:
    """Non-repeatable request to one shard.

    Parameters
    ----------
    envelope : Envelope
        State of the sender.
    request_id : str
        Identifier of the request.
    family : str
        Service family of the request.
    body : str
        Body that is sent to the searcher.
    remaining_ms : float
        Time until the deadline, in milliseconds.
    shard : Shard
        Shard of the request, with its replicas.
    slots : int
        Requests that one searcher runs at a time.
    connections : int
        Connections that one searcher accepts, over all hosts.
    """

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
    """Reply to `SubmitRequest`.

    Parameters
    ----------
    envelope : Envelope
        State of the gather.
    request_id : str
        Identifier of the request.
    status : SubmitStatus
        Whether the request was run.
    detail : str
        Receipt if it was run, else the reason why not or why that is unknown.
    """

    envelope: Envelope
    request_id: str
    status: SubmitStatus
    detail: str


class TicketStatus(StrEnum):
    """Outcome of a request that was forwarded to the entry that minted its ticket."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Request of a caller, forwarded to the entry that minted its ticket.

    Parameters
    ----------
    envelope : Envelope
        State of the sender.
    request_id : str
        Identifier of the request.
    ticket : str
        Ticket as the caller sent it.
    family : str
        Service family of the request.
    key : str
        Key that determines the shard.
    body : str
        Content of the request.
    """

    envelope: Envelope
    request_id: str
    ticket: str
    family: str
    key: str
    body: str


@dataclass(frozen=True, slots=True)
class TicketReply:
    """Reply to `TicketRequest`.

    Parameters
    ----------
    envelope : Envelope
        State of the entry that minted the ticket.
    status : TicketStatus
        Outcome of the request.
    detail : str
        Receipt if accepted, reason if refused, or what is known of an unknown
        outcome.
    retry_after_ms : int or None
        Time after which to retry a refused request, in milliseconds; None if
        there is none to state.
    """

    envelope: Envelope
    status: TicketStatus
    detail: str
    retry_after_ms: int | None

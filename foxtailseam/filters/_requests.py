"""Callers' requests, and what the chain learns of them."""

from dataclasses import dataclass, field
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.configuration import FamilyPolicy
from foxtailseam.outcomes import SubAnswer
from foxtailseam.snapshots import Snapshot


@dataclass(frozen=True, slots=True)
class Search:
    """A query over all shards of a service family.

    Parameters
    ----------
    request_id : str
        Minted here; callers' own identifiers may repeat.
    family : str
        Service family.
    query : str
        The query.
    deadline : timedelta or None
        The caller's own deadline; it can only shorten that of the rules.
    """

    request_id: str
    family: str
    query: str
    deadline: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Submit:
    """A request that may not be repeated.

    Parameters
    ----------
    request_id : str
        Minted here.
    family : str
        Service family.
    ticket : str
        Ticket given out for it.
    key : str
        Decides on the shard.
    content : str
        What is to be done.
    """

    request_id: str
    family: str
    ticket: str
    key: str
    content: str


CallerRequest = Search | Submit


@dataclass
class SearchResult:
    """What the gathers returned so far, for the filters that learn from it."""

    answers: list[SubAnswer] = field(default_factory=list)
    queue_delay: timedelta = timedelta()
    shed: bool = False


@dataclass(frozen=True)
class RequestContext:
    """A request with the policy and the snapshot that it is pinned to.

    Parameters
    ----------
    request : Search or Submit
        The request.
    policy : FamilyPolicy
        The rules in force on arrival.
    snapshot : Snapshot or None
        The pinned snapshot; None if the family has none.
    deadline : float
        Monotonic time, in seconds, by which the answer is due.
    fingerprint : str
        Equal for requests with equal content.
    suspect : bool
        The request may crash searchers.
    result : SearchResult
        Filled by the handler.
    """

    request: CallerRequest
    policy: FamilyPolicy
    snapshot: Snapshot | None
    deadline: float
    fingerprint: str
    suspect: bool = False
    result: SearchResult = field(default_factory=SearchResult)

    def remaining(self, clock: Clock) -> timedelta:
        """Return the time until the deadline; negative after it."""
        return timedelta(seconds=self.deadline - clock.monotonic())

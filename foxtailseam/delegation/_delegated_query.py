"""A query that is delegated to a coordinator."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from foxtailseam.clocks import Clock, TimerHandle, Timers
from foxtailseam.delegation._selection import CoordinatorSelector
from foxtailseam.delegation._sending import DelegationSender
from foxtailseam.forwarding import (
    Forwarded,
    ForwardedRequest,
    PeerAnswered,
    PeerFailed,
    PeerHost,
    PeerResult,
    PendingSend,
    Unavailability,
)
from foxtailseam.http import HttpResponse

# Time after which a coordinator that has not said that it got a query has not, in
# seconds. The query is then served by the host itself.
ACCEPT_SECONDS = 0.025


@dataclass(frozen=True, slots=True)
class NotDelegated:
    """The coordinator has not answered the query.

    Parameters
    ----------
    reason : Unavailability
        Why.
    attempts_left : int
        Number of searchers of each shard that may still be asked.
    may_have_run : bool
        False only if certainly no searcher has run the query.
    """

    reason: Unavailability
    attempts_left: int
    may_have_run: bool


DelegationResult = Forwarded | NotDelegated


class _State(StrEnum):
    """State of a delegated query, as shown in the request log."""

    SENT = "sent"
    ACCEPTED = "accepted"


class Delegator:
    """What all delegated queries of this host share.

    Parameters
    ----------
    sender : DelegationSender
        Sends queries to coordinators.
    coordinators : CoordinatorSelector
        Chooses the coordinators.
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Scheduler of delayed calls.
    """

    def __init__(
        self,
        sender: DelegationSender,
        coordinators: CoordinatorSelector,
        clock: Clock,
        timers: Timers,
    ):
        self.sender = sender
        self.coordinators = coordinators
        self.clock = clock
        self.timers = timers


class DelegatedQuery:
    """One query at its coordinator.

    The coordinator may use all attempts but one, and the last one too once it has
    accepted the query. A query that is lost on the way therefore has an attempt left
    for this host, and no shard is asked more often than the route allows.

    Parameters
    ----------
    delegator : Delegator
        Shared state.
    coordinator : PeerHost
        Host that is asked.
    request : ForwardedRequest
        The request, with all its attempts.
    overdue_at : float
        Monotonic time after which a coordinator without an answer is avoided.
    deadline_at : float
        Monotonic time after which no answer is awaited.
    on_result : callable
        Called once with the result, unless the query is cancelled first.
    """

    # Attributes that the log lines of all kinds of queries have.
    late_shards = ""
    hedges = 0

    def __init__(
        self,
        delegator: Delegator,
        coordinator: PeerHost,
        request: ForwardedRequest,
        overdue_at: float,
        deadline_at: float,
        on_result: Callable[[DelegationResult], None],
    ):
        self.delegator = delegator
        self.coordinator = coordinator
        self.request = request
        self.overdue_at = overdue_at
        self.deadline_at = deadline_at
        self.on_result = on_result
        self._attempts_kept = 1 if request.attempts > 1 else 0
        self._state = _State.SENT
        self._pending: PendingSend | None = None
        self._timers: list[TimerHandle] = []

    @property
    def may_have_run(self) -> bool:
        """Return whether a searcher may have started to run the query."""
        return self._pending is not None

    def needs_other_host(self, is_isolated: bool) -> bool:
        """Return False: the links of this host do not matter to a delegated query."""
        return False

    def start(self) -> None:
        """Send the query to the coordinator."""
        delegator = self.delegator
        now = delegator.clock.monotonic()
        self._call_at(now + ACCEPT_SECONDS, self._on_unaccepted)
        self._call_at(self.overdue_at, self._on_overdue)
        self._call_at(self.deadline_at, self._on_deadline)
        attempts = self.request.attempts
        self._pending = delegator.sender.delegate(
            self.coordinator.address,
            replace(self.request, attempts=attempts - self._attempts_kept),
            attempts,
            self._on_accepted,
            self._on_peer_result,
        )
        delegator.coordinators.selector.begin(self.coordinator)

    def cancel(self) -> None:
        """Cancel the query because its caller disconnected; no result follows."""
        self._end()

    def describe(self) -> str:
        """Return the coordinator as text for the request log."""
        return f"{self.coordinator.address}:{self._state}"

    def _on_accepted(self) -> None:
        self._state = _State.ACCEPTED
        self._attempts_kept = 0

    def _on_peer_result(self, result: PeerResult) -> None:
        attempts = self.request.attempts
        match result:
            case PeerAnswered(response=response) if response.unavailable is None:
                self._finish(
                    Forwarded(
                        self.coordinator.address,
                        HttpResponse(response.status, response.headers, response.body),
                    )
                )
            case PeerAnswered(response=response):
                run = response.attempts_run
                self._give_up(response.unavailable, attempts - run, run > 0)
            case PeerFailed(reason=reason, sent=False):
                self._give_up(reason, attempts, False)
            case PeerFailed(reason=reason):
                self._give_up(reason, self._attempts_kept, True)

    def _on_unaccepted(self) -> None:
        if self._state is _State.SENT:
            self._give_up(Unavailability.LOST, self._attempts_kept, True)

    def _on_overdue(self) -> None:
        selector = self.delegator.coordinators.selector
        selector.avoid(self.coordinator, Unavailability.LOST)

    def _on_deadline(self) -> None:
        self._give_up(Unavailability.LOST, 0, True)

    def _give_up(
        self, reason: Unavailability, attempts_left: int, may_have_run: bool
    ) -> None:
        self.delegator.coordinators.selector.avoid(self.coordinator, reason)
        self._finish(NotDelegated(reason, max(0, attempts_left), may_have_run))

    def _finish(self, result: DelegationResult) -> None:
        self._end()
        self.on_result(result)

    def _end(self) -> None:
        """Cancel the timers, and the query at the coordinator if it still has it."""
        for timer in self._timers:
            timer.cancel()
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()
            self.delegator.coordinators.selector.end(self.coordinator)

    def _call_at(self, when: float, callback: Callable[[], None]) -> None:
        delay = max(0.0, when - self.delegator.clock.monotonic())
        self._timers.append(self.delegator.timers.call_later(delay, callback))

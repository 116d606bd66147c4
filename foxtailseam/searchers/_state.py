"""State machine of one searcher."""

from datetime import timedelta
from enum import StrEnum

from foxtailseam.clocks import Clock


class SearcherState(StrEnum):
    """State of a searcher, which limits the requests sent to it.

    A ready searcher gets as many concurrent requests as it has slots, one that warms
    up after a restart half as many, and one that is probed a single one. Leaving and
    ejected searchers get none.
    """

    READY = "ready"
    WARMING = "warming"
    LEAVING = "leaving"
    EJECTED = "ejected"
    PROBING = "probing"


class SearcherEvent(StrEnum):
    """Event that may change the state of a searcher.

    `EJECTION_ENDED` means that an ejection has lasted `MIN_EJECTED_TIME`.
    """

    ANSWERED = "answered"
    NEW_INCARNATION = "new-incarnation"
    WARMED = "warmed"
    FAILED_OFTEN = "failed-often"
    UNREACHABLE = "unreachable"
    DRAIN_SIGNAL = "drain-signal"
    LISTED_LEAVING = "listed-leaving"
    EJECTION_ENDED = "hold-ended"
    HEALTH_READY = "health-ready"


_S = SearcherState
_E = SearcherEvent

_ALL_STATES = tuple(SearcherState)

# An event observed by this process stops new requests at once. They resume in
# full only after an answer: no transition to READY is caused by anything else.
TRANSITIONS: dict[tuple[SearcherState, SearcherEvent], SearcherState] = {
    **{(state, _E.DRAIN_SIGNAL): _S.LEAVING for state in _ALL_STATES},
    **{(state, _E.LISTED_LEAVING): _S.LEAVING for state in _ALL_STATES},
    (_S.READY, _E.UNREACHABLE): _S.EJECTED,
    (_S.WARMING, _E.UNREACHABLE): _S.EJECTED,
    (_S.PROBING, _E.UNREACHABLE): _S.EJECTED,
    (_S.READY, _E.FAILED_OFTEN): _S.EJECTED,
    (_S.WARMING, _E.FAILED_OFTEN): _S.EJECTED,
    (_S.PROBING, _E.FAILED_OFTEN): _S.EJECTED,
    (_S.READY, _E.NEW_INCARNATION): _S.WARMING,
    (_S.PROBING, _E.NEW_INCARNATION): _S.WARMING,
    (_S.PROBING, _E.ANSWERED): _S.READY,
    (_S.WARMING, _E.WARMED): _S.READY,
    (_S.EJECTED, _E.EJECTION_ENDED): _S.PROBING,
    (_S.LEAVING, _E.HEALTH_READY): _S.PROBING,
}

MIN_EJECTED_TIME = timedelta(seconds=1)
# Longer than the delay with which a health endpoint may report a shutdown, so that
# a stale health check does not cancel a drain signal.
MIN_LEAVING_TIME = timedelta(seconds=15)


class SearcherStateMachine:
    """State machine of one searcher, which starts as ready.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._state = SearcherState.READY
        self._entered_at = clock.monotonic()

    @property
    def state(self) -> SearcherState:
        """Return the current state.

        An ejection that has lasted `MIN_EJECTED_TIME` is ended first.
        """
        if self._state is SearcherState.EJECTED and self._has_elapsed(MIN_EJECTED_TIME):
            self.apply(SearcherEvent.EJECTION_ENDED)
        return self._state

    @property
    def is_due_for_health_check(self) -> bool:
        """Return whether the searcher has been leaving for `MIN_LEAVING_TIME`."""
        return self._state is SearcherState.LEAVING and self._has_elapsed(
            MIN_LEAVING_TIME
        )

    def apply(self, event: SearcherEvent) -> bool:
        """Apply an event and return whether the state changed.

        Parameters
        ----------
        event : SearcherEvent
            Event to apply; ignored if the current state has no transition for it.
        """
        target = TRANSITIONS.get((self._state, event))
        if target is None:
            return False
        changed = target is not self._state
        self._state = target
        # A repeated drain signal restarts the minimum time in this state.
        self._entered_at = self.clock.monotonic()
        return changed

    def _has_elapsed(self, duration: timedelta) -> bool:
        return self.clock.monotonic() - self._entered_at >= duration.total_seconds()

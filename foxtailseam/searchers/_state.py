"""State of one searcher, as a table of transitions."""

from datetime import timedelta
from enum import StrEnum

from foxtailseam.clocks import Clock


class SearcherState(StrEnum):
    """How far a searcher may be used."""

    READY = "ready"
    WARMING = "warming"
    LEAVING = "leaving"
    EJECTED = "ejected"
    PROBING = "probing"


class SearcherEvent(StrEnum):
    """What was learnt of a searcher."""

    ANSWERED = "answered"
    NEW_INCARNATION = "new-incarnation"
    WARMED = "warmed"
    FAILED_OFTEN = "failed-often"
    UNREACHABLE = "unreachable"
    DRAIN_SIGNAL = "drain-signal"
    LISTED_LEAVING = "listed-leaving"
    HOLD_ENDED = "hold-ended"
    HEALTH_READY = "health-ready"


_S = SearcherState
_E = SearcherEvent

_EVERY_STATE = tuple(SearcherState)

# Own observation ends work at once; nothing but an answer starts it again.
TRANSITIONS: dict[tuple[SearcherState, SearcherEvent], SearcherState] = {
    **{(state, _E.DRAIN_SIGNAL): _S.LEAVING for state in _EVERY_STATE},
    **{(state, _E.LISTED_LEAVING): _S.LEAVING for state in _EVERY_STATE},
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
    (_S.EJECTED, _E.HOLD_ENDED): _S.PROBING,
    (_S.LEAVING, _E.HEALTH_READY): _S.PROBING,
}

EJECTION_HOLD = timedelta(seconds=1)
# Longer than a health endpoint may lag, so that it cannot undo a drain signal.
LEAVING_HOLD = timedelta(seconds=15)


class SearcherStateMachine:
    """Applies events, and ends the hold of a state that lasts a given time.

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
        """Return the state, after ending an ejection that is over."""
        if self._state is SearcherState.EJECTED and self._held(EJECTION_HOLD):
            self.apply(SearcherEvent.HOLD_ENDED)
        return self._state

    @property
    def wants_health_check(self) -> bool:
        """Return whether a leaving searcher may be asked if it came back."""
        return self._state is SearcherState.LEAVING and self._held(LEAVING_HOLD)

    def apply(self, event: SearcherEvent) -> bool:
        """Apply an event; tell whether the state changed."""
        target = TRANSITIONS.get((self._state, event))
        if target is None:
            return False
        changed = target is not self._state
        self._state = target
        # A repeated drain signal starts the hold anew.
        self._entered_at = self.clock.monotonic()
        return changed

    def _held(self, hold: timedelta) -> bool:
        return self.clock.monotonic() - self._entered_at >= hold.total_seconds()

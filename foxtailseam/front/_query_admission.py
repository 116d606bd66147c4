"""End of the admission of gather queries."""

from foxtailseam.clocks import Clock
from foxtailseam.dispatch import FailureReason, GatherQuery, NotAnswered
from foxtailseam.front._overload_guard import OverloadGuard, QueryDuration
from foxtailseam.front._request_log import AnyQuery, AnyResult
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.routing import Route

# Failure reasons that show that searchers are overloaded.
_OVERLOAD_REASONS = frozenset(
    {FailureReason.SHED, FailureReason.BUDGET, FailureReason.DEADLINE}
)
# Sample of a query that says nothing about the load of the searchers.
_NO_DURATION = QueryDuration(None, None, 0.0)


class QueryAdmission:
    """Reports the ends of admitted queries to the guard that has admitted them.

    Only gather queries are admitted; the ends of others are not reported.

    Parameters
    ----------
    guard : OverloadGuard
        Guard that admits gather queries.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, guard: OverloadGuard, clock: Clock):
        self._guard = guard
        self._clock = clock

    def release(
        self, routed: RoutedRequest, query: AnyQuery, result: AnyResult | None
    ) -> None:
        """Report the end of a query and how long it took.

        Parameters
        ----------
        routed : RoutedRequest
            Request that the query served.
        query : AnyQuery
            The query.
        result : AnyResult or None
            Its result; None if its caller has disconnected.
        """
        if isinstance(query, GatherQuery):
            elapsed = self._clock.monotonic() - routed.times.started_at
            duration = QueryDuration(query.time_to_half, query.time_to_quorum, elapsed)
            self._guard.record_end(routed.route, duration, _is_overload(result))

    def discard(self, routed: RoutedRequest, query: AnyQuery) -> None:
        """Report the end of a query whose result says nothing about the load."""
        if isinstance(query, GatherQuery):
            self.withdraw(routed.route)

    def withdraw(self, route: Route) -> None:
        """Report that an admitted query of a route was not started."""
        self._guard.record_end(route, _NO_DURATION, False)


def _is_overload(result: AnyResult | None) -> bool:
    match result:
        case NotAnswered(reason=reason):
            return reason in _OVERLOAD_REASONS
        case _:
            return False

"""Creation of the queries that serve requests."""

from collections.abc import Callable
from functools import partial

from foxtailseam.dispatch import (
    CallPlan,
    Dispatcher,
    GatherQuery,
    GatherResult,
    SingleQuery,
    SingleResult,
)
from foxtailseam.front._quarantine_guard import QuarantineGuard
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.platform import PlatformRequestTemplate


class QueryFactory:
    """Creates queries of searchers, which are not started yet.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends the calls of the queries.
    quarantine_guard : QuarantineGuard
        Learns which suspect requests a searcher has survived.
    """

    def __init__(self, dispatcher: Dispatcher, quarantine_guard: QuarantineGuard):
        self._dispatcher = dispatcher
        self._quarantine_guard = quarantine_guard

    def create_gather(
        self,
        routed: RoutedRequest,
        is_suspect: bool,
        on_result: Callable[[GatherResult], None],
    ) -> GatherQuery:
        """Return a query of all shards.

        Parameters
        ----------
        routed : RoutedRequest
            Request to serve.
        is_suspect : bool
            Whether the request may have crashed a searcher.
        on_result : callable
            Called with the result.
        """
        request = routed.call.request
        return GatherQuery(
            self._dispatcher,
            _call_plan(routed).for_services(routed.services),
            routed.route.destination,
            routed.times,
            on_result,
            partial(self._quarantine_guard.record_survival, request)
            if is_suspect
            else None,
        )

    def create_single(
        self,
        routed: RoutedRequest,
        is_suspect: bool,
        on_result: Callable[[SingleResult], None],
    ) -> SingleQuery:
        """Return a query of one service; the parameters are those of a gather query."""
        return SingleQuery(
            self._dispatcher, _call_plan(routed), routed.times, on_result, is_suspect
        )


def _call_plan(routed: RoutedRequest) -> CallPlan:
    request = routed.call.request
    return CallPlan(
        routed.services[0],
        routed.route,
        request,
        PlatformRequestTemplate(request),
        routed.metadata.identifier,
        routed.times.deadline_at,
    )

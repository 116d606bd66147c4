"""Delegates queries of all shards to hosts that send their calls faster."""

from collections.abc import Callable
from dataclasses import replace

from foxtailseam.delegation import (
    DelegatedQuery,
    DelegationResult,
    Delegator,
    NotDelegated,
)
from foxtailseam.dispatch import FailureReason, NotAnswered
from foxtailseam.front._forwarding import PeerForwarding
from foxtailseam.front._peer_requests import to_failure, to_message
from foxtailseam.front._request_guard import RequestGuard
from foxtailseam.front._request_log import AnyResult, RequestLog
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.front._running_requests import RunningRequests
from foxtailseam.http import HttpResponse


class QueryDelegation:
    """Hands queries to coordinators and serves those that come back.

    Parameters
    ----------
    peers : PeerForwarding
        Identity of this host, and the budget of what is sent twice.
    running : RunningRequests
        Requests of this host that are in progress.
    request_log : RequestLog
        Log of the queries that come back.
    guard : RequestGuard
        Ends the requests whose handling fails.
    run : callable
        Starts the query that serves a request.
    finish : callable
        Ends a request with the response and the result of its query.
    serve_here : callable
        Serves a query on this host.

    Attributes
    ----------
    delegator : Delegator or None
        Delegates queries; None on a host that knows no others.
    """

    def __init__(
        self,
        peers: PeerForwarding,
        running: RunningRequests,
        request_log: RequestLog,
        guard: RequestGuard,
        run: Callable[[RoutedRequest, DelegatedQuery], None],
        finish: Callable[[RoutedRequest, HttpResponse, AnyResult], None],
        serve_here: Callable[[RoutedRequest], None],
    ):
        self.peers = peers
        self.running = running
        self.request_log = request_log
        self.guard = guard
        self.run = run
        self.finish = finish
        self.serve_here = serve_here
        self.delegator: Delegator | None = None

    def delegate(self, routed: RoutedRequest) -> bool:
        """Delegate a query of all shards; return whether that was done.

        Parameters
        ----------
        routed : RoutedRequest
            The query. One of another host is not delegated.
        """
        delegator = self.delegator
        if delegator is None or routed.call.forward is not None:
            return False
        coordinator = delegator.coordinators.choose(len(routed.services))
        if coordinator is None:
            return False
        peers = self.peers
        request = to_message(
            routed,
            peers.address,
            peers.failure_domain,
            routed.route.max_attempts,
            delegator.clock.monotonic(),
        )

        def on_result(result: DelegationResult) -> None:
            self.guard.run(routed.call, self._on_result, routed, result)

        query = DelegatedQuery(
            delegator,
            coordinator,
            request,
            routed.times.goal_limit_at,
            routed.times.deadline_at,
            on_result,
        )
        self.request_log.count_delegated()
        self.run(routed, query)
        return True

    def _on_result(self, routed: RoutedRequest, result: DelegationResult) -> None:
        match result:
            case NotDelegated():
                self._on_returned(routed, result)
            case _:
                failure = to_failure(result, may_have_run=False)
                if failure is None:
                    self.finish(routed, result.response, result)
                else:
                    self._fail(routed, failure)

    def _on_returned(self, routed: RoutedRequest, result: NotDelegated) -> None:
        """Serve a query that its coordinator has not answered, if it may run again."""
        self.request_log.record_returned(
            routed, result.reason, self.running.find(routed).describe()
        )
        if not self._may_repeat(routed, result):
            now = self.peers.dispatcher.clock.monotonic()
            is_late = routed.times.deadline_at <= now
            reason = FailureReason.DEADLINE if is_late else FailureReason.LOST
            self._fail(routed, NotAnswered(reason, True))
            return
        self.running.remove(routed)
        route = replace(routed.route, max_attempts=result.attempts_left)
        self.serve_here(
            replace(routed, route=route, has_run_before=result.may_have_run)
        )

    def _may_repeat(self, routed: RoutedRequest, result: NotDelegated) -> bool:
        """Return whether this host may serve it; charges what may be a second run."""
        if result.attempts_left == 0:
            return False
        return not result.may_have_run or self.peers.take_extra(routed.services)

    def _fail(self, routed: RoutedRequest, failure: NotAnswered) -> None:
        self.finish(routed, routed.responses.failed(failure), failure)

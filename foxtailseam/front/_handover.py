"""Moves requests of this host to others while its links do not allow them."""

from collections.abc import Callable

from foxtailseam.dispatch import (
    Dispatcher,
    FailureReason,
    GatherQuery,
    GatherResult,
    MergedAnswer,
    ServiceAnswer,
    SingleQuery,
    SingleResult,
)
from foxtailseam.forwarding import Forward, Forwarded, ForwardResult
from foxtailseam.front._forwarding import PeerForwarding
from foxtailseam.front._peer_requests import to_failure
from foxtailseam.front._request_guard import RequestGuard
from foxtailseam.front._request_log import AnyResult, RequestLog
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.front._running_requests import RunningRequests
from foxtailseam.http import HttpResponse
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.reachability import LinkChange, LinkState

# Failure reasons that lost links of this host cause.
_LINK_REASONS = frozenset({FailureReason.LOST, FailureReason.NO_SEARCHER})


class Handover:
    """Forwards the requests that the links of this host do not allow.

    Parameters
    ----------
    peers : PeerForwarding
        Decides which requests may be forwarded, and creates the forwarded ones.
    dispatcher : Dispatcher
        Knows the links of this host to the searchers.
    running : RunningRequests
        Requests of this host that are in progress.
    log : LogWriter
        Log that receives an event for each change of the links.
    request_log : RequestLog
        Log of the requests that are forwarded or given back.
    guard : RequestGuard
        Ends the requests whose handling fails.
    run : callable
        Starts the query that serves a request.
    finish : callable
        Ends a request with the response and the result of its query.
    discard : callable
        Ends the admission of a query whose result says nothing about the load.
    """

    def __init__(
        self,
        peers: PeerForwarding,
        dispatcher: Dispatcher,
        running: RunningRequests,
        log: LogWriter,
        request_log: RequestLog,
        guard: RequestGuard,
        run: Callable[[RoutedRequest, Forward], None],
        finish: Callable[[RoutedRequest, HttpResponse, AnyResult], None],
        discard: Callable[[RoutedRequest, GatherQuery | SingleQuery], None],
    ):
        self.peers = peers
        self.dispatcher = dispatcher
        self.running = running
        self.log = log
        self.request_log = request_log
        self.guard = guard
        self.run = run
        self.finish = finish
        self.discard = discard
        dispatcher.links.on_change = self._on_link_change

    def forward_new(self, routed: RoutedRequest) -> None:
        """Forward a request that was sent to no searcher yet."""
        state = self.dispatcher.links.state
        self._forward(routed, routed.route.max_attempts, False, state)

    def forward_failed(
        self, routed: RoutedRequest, result: GatherResult | SingleResult
    ) -> bool:
        """Forward a request that failed by lost links; return whether that was done."""
        match result:
            case MergedAnswer() | ServiceAnswer():
                return False
        if result.reason not in _LINK_REASONS:
            return False
        links = self.dispatcher.links
        if links.is_connected and not links.is_suspect:
            return False
        return self._forward_started(routed, self.running.find(routed), result.reason)

    def _forward_started(
        self, routed: RoutedRequest, query: GatherQuery | SingleQuery, reason: str
    ) -> bool:
        """Forward a request that was sent to searchers; return whether that was done.

        One that another host has forwarded goes back there.
        """
        if not self.peers.may_hand_over(routed, query):
            return False
        may_have_run = query.may_have_run or routed.has_run_before
        attempts_run = query.attempts_run
        query.cancel()
        self.running.remove(routed)
        self.discard(routed, query)
        if routed.call.forward is not None:
            self.request_log.record_declined(routed, reason)
            routed.call.forward.decline(attempts_run)
        else:
            attempts = routed.route.max_attempts - attempts_run
            self._forward(routed, attempts, may_have_run, reason)
        return True

    def _forward(
        self, routed: RoutedRequest, attempts: int, may_have_run: bool, reason: str
    ) -> None:
        self.request_log.record_forwarding(routed, reason)

        def on_result(result: ForwardResult) -> None:
            self.guard.run(
                routed.call, self._on_forwarded, routed, result, may_have_run
            )

        self.run(routed, self.peers.create(routed, attempts, on_result))

    def _on_forwarded(
        self, routed: RoutedRequest, result: ForwardResult, may_have_run: bool
    ) -> None:
        failure = to_failure(result, may_have_run)
        if failure is not None:
            self.finish(routed, routed.responses.failed(failure), failure)
        elif isinstance(result, Forwarded):
            self.finish(routed, result.response, result)

    def _on_link_change(self, change: LinkChange) -> None:
        self.log.write(
            EventCode.LINKS_CHANGED,
            state=change.state,
            accepted=change.evidence.accepted,
            probed=change.evidence.probed,
            silent=change.evidence.is_silent,
            responds=change.evidence.responds,
            contact_age_ms=round(change.contact_age * 1000),
            running=len(self.running),
        )
        self.dispatcher.reset_failures()
        if change.state is not LinkState.CONNECTED:
            self._forward_unreachable(change.state)

    def _forward_unreachable(self, state: LinkState) -> None:
        """Forward the requests in progress that the links no longer allow."""
        is_isolated = state is LinkState.ISOLATED
        for routed, query in self.running:
            if not isinstance(query, Forward) and query.needs_other_host(is_isolated):
                self.guard.run(routed.call, self._forward_started, routed, query, state)

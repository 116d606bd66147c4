"""Serves callers' requests: route, check, dispatch and respond."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from functools import partial

from foxtailseam.clocks import Clock
from foxtailseam.delegation import DelegatedCall
from foxtailseam.dispatch import (
    AnswerDelay,
    Dispatcher,
    FailureReason,
    GatherQuery,
    GatherResult,
    MergedAnswer,
    NotAnswered,
    ServiceAnswer,
    SingleResult,
)
from foxtailseam.forwarding import ForwardedRequest, ForwardedResponse
from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.front._delegation import QueryDelegation
from foxtailseam.front._forwarding import PeerForwarding
from foxtailseam.front._handover import Handover
from foxtailseam.front._overload_guard import OverloadGuard
from foxtailseam.front._quarantine_guard import QuarantineGuard
from foxtailseam.front._query_admission import QueryAdmission
from foxtailseam.front._query_factory import QueryFactory
from foxtailseam.front._request_guard import RequestGuard
from foxtailseam.front._request_log import AnyQuery, AnyResult, RequestLog
from foxtailseam.front._responses import ResponseBuilder
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.front._running_requests import RunningRequests
from foxtailseam.front._shutdown import ShutdownLimit
from foxtailseam.front._startup_queue import StartupQueue
from foxtailseam.front._timing import TimingSettings, query_times
from foxtailseam.http import Call, HttpResponse
from foxtailseam.logs import LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.platform import (
    RequestMetadata,
    parse_request_headers,
)
from foxtailseam.quarantine import SuspicionState
from foxtailseam.routing import AllShards, OneService, Route, WeightedServices
from foxtailseam.supervision import FailureLog

# Retry-After of a request that arrived before the first configuration.
RETRY_AFTER_UNCONFIGURED = timedelta(milliseconds=500)
# Retry-After of a request without a usable route while the configuration may be
# out of date.
RETRY_AFTER_STALE = timedelta(seconds=1)


class FrontEnd:
    """Routes each caller's request, sends it to searchers and responds.

    Parameters
    ----------
    configuration_manager : ConfigurationManager
        Source of the active configuration.
    dispatcher : Dispatcher
        Sends requests to searchers.
    clock : Clock
        Source of monotonic time.
    log : LogWriter
        Log that receives an event for each response.
    metrics : Metrics
        Registry of the request counters and the latency histogram.
    is_current : callable
        Returns whether the configuration is known to be the newest.
    timing : TimingSettings
        Allowances for network and processing time.
    overload_guard : OverloadGuard
        Refuses gather queries that exceed the capacity of the searchers.
    quarantine_guard : QuarantineGuard
        Tracks the requests that crash searchers.

    Attributes
    ----------
    peers : PeerForwarding
        Forwards requests to other hosts while this one does not reach the searchers.
    delegation : QueryDelegation
        Delegates queries of all shards to hosts that send their calls faster.
    """

    def __init__(
        self,
        configuration_manager: ConfigurationManager,
        dispatcher: Dispatcher,
        clock: Clock,
        log: LogWriter,
        metrics: Metrics,
        is_current: Callable[[], bool],
        timing: TimingSettings,
        overload_guard: OverloadGuard,
        quarantine_guard: QuarantineGuard,
    ):
        self.configuration_manager = configuration_manager
        self.dispatcher = dispatcher
        self.clock = clock
        self.log = log
        self.is_current = is_current
        self.timing = timing
        self.overload_guard = overload_guard
        self.quarantine_guard = quarantine_guard
        self._answer_delay = AnswerDelay(timing.processing_time.total_seconds())
        self._startup_queue = StartupQueue(clock, dispatcher.timers)
        self._shutdown_limit = ShutdownLimit(dispatcher)
        self.peers = PeerForwarding(dispatcher, configuration_manager)
        self._request_log = RequestLog(
            log, metrics, clock, configuration_manager, dispatcher.contacts
        )
        self._running = RunningRequests()
        self._admission = QueryAdmission(overload_guard, clock)
        self._queries = QueryFactory(dispatcher, quarantine_guard)
        self._guard = RequestGuard(
            self._running,
            FailureLog(log, metrics, clock),
            self._admission.discard,
        )
        self._handover = Handover(
            self.peers,
            dispatcher,
            self._running,
            log,
            self._request_log,
            self._guard,
            self._run,
            self._finish,
            self._admission.discard,
        )
        self.peers.count_calls = self._running.count_calls_for_others
        self.delegation = QueryDelegation(
            self.peers,
            self._running,
            self._request_log,
            self._guard,
            self._run,
            self._finish,
            lambda routed: self._start_gather(routed, False),
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait for searchers."""
        return len(self._running)

    def serve(self, call: Call) -> None:
        """Handle a request; it is answered now or once searchers have answered.

        Parameters
        ----------
        call : Call
            Request of a caller, or of another host that has forwarded it.
        """
        self._guard.run(call, self._serve, call)

    def _serve(self, call: Call) -> None:
        metadata = parse_request_headers(call.request.headers)
        responses = ResponseBuilder(metadata.identifier)
        if not metadata.identifier:
            self._reject(call, metadata, "no identifier", responses.bad_request())
            return
        if self.configuration_manager.configuration is None:
            self._startup_queue.enqueue(
                call,
                metadata.remaining,
                lambda call: self._guard.run(call, self._reject_unconfigured, call),
            )
            return
        route = self.configuration_manager.find_route(
            call.request.host, call.request.path
        )
        if route is None:
            self._reject_unrouted(call, metadata, responses)
            return
        self._serve_route(call, metadata, responses, route)

    def serve_waiting(self) -> None:
        """Serve the requests that waited for the first configuration."""
        if self._startup_queue.waiting:
            self._startup_queue.release(self.serve)

    def stop_by(self, ends_at: float) -> None:
        """Take only requests that can be answered by a point in time.

        Parameters
        ----------
        ends_at : float
            Monotonic time in seconds by which the process must have stopped.
        """
        self._shutdown_limit.ends_at = ends_at
        self.peers.is_stopping = True

    def abort_all(self) -> None:
        """Cancel and fail every running request, as the process must stop."""
        # Those that wait for a searcher first, so that none is sent in the place of
        # one that was cancelled.
        for routed, query in sorted(self._running, key=_may_have_run):
            # The end of a request may have ended others that waited for it.
            if routed in self._running:
                self._guard.run(routed.call, self._abort, routed, query)

    def _abort(self, routed: RoutedRequest, query: AnyQuery) -> None:
        may_have_run = query.may_have_run or routed.has_run_before
        query.cancel()
        reason = FailureReason.DEADLINE if may_have_run else FailureReason.STOPPING
        result = NotAnswered(reason, may_have_run)
        self._finish(routed, routed.responses.failed(result), result)

    def _reject_unconfigured(self, call: Call) -> None:
        metadata = parse_request_headers(call.request.headers)
        refusal = ResponseBuilder(metadata.identifier).refused(RETRY_AFTER_UNCONFIGURED)
        self._reject(call, metadata, "no configuration yet", refusal)

    def _reject_unrouted(
        self, call: Call, metadata: RequestMetadata, responses: ResponseBuilder
    ) -> None:
        if self.is_current():
            self._reject(call, metadata, "no route", responses.no_route())
        else:
            # A newer configuration may already contain the route.
            refusal = responses.refused(RETRY_AFTER_STALE)
            self._reject(
                call, metadata, "no route in a possibly stale configuration", refusal
            )

    def _serve_route(
        self,
        call: Call,
        metadata: RequestMetadata,
        responses: ResponseBuilder,
        route: Route,
    ) -> None:
        request = call.request
        times = query_times(
            route,
            request.arrived_at,
            request.network_delay,
            metadata.remaining,
            self.timing,
            self._answer_delay.seconds,
        )
        if call.forward is not None:
            attempts = min(route.max_attempts, call.forward.attempts)
            route = replace(route, max_attempts=attempts)
        services = self._select_services(route)
        if services is None:
            refusal = responses.refused(RETRY_AFTER_STALE)
            self._reject(call, metadata, "no service has a positive weight", refusal)
            return
        limit = self._shutdown_limit
        is_limited = times.deadline_at > limit.ends_at
        if is_limited:
            times = limit.shorten(times)
        version = self.configuration_manager.version
        routed = RoutedRequest(
            call, responses, route, services, times, metadata, version
        )
        if is_limited and not limit.can_answer(route):
            self._refuse(routed, FailureReason.STOPPING, None)
            return
        if times.deadline_at <= self.clock.monotonic():
            self._refuse(routed, FailureReason.DEADLINE, None)
            return
        self._start(routed)

    def _refuse(
        self,
        routed: RoutedRequest,
        reason: FailureReason,
        retry_after: timedelta | None,
        inputs: dict[str, object] | None = None,
    ) -> None:
        result = NotAnswered(reason, routed.has_run_before, retry_after)
        response = routed.responses.failed(result)
        self._respond(routed, response, result, None, inputs)

    def _select_services(self, route: Route) -> tuple[str, ...] | None:
        match route.destination:
            case OneService(service=service):
                return (service,)
            case WeightedServices() as destination:
                service = self.configuration_manager.choose_service(destination)
                return (service,) if service else None
            case AllShards(shards=shards):
                return shards

    def _start(self, routed: RoutedRequest) -> None:
        state = self.quarantine_guard.state(routed.call.request)
        if state is SuspicionState.QUARANTINED:
            self._refuse(routed, FailureReason.QUARANTINED, None)
        elif self.peers.must_forward(routed):
            self._handover.forward_new(routed)
        elif isinstance(routed.route.destination, AllShards):
            is_suspect = state is SuspicionState.SUSPECT
            if is_suspect or not self.delegation.delegate(routed):
                self._start_gather(routed, is_suspect)
        else:
            self._start_single(routed, state is SuspicionState.SUSPECT)

    def _start_gather(self, routed: RoutedRequest, is_suspect: bool) -> None:
        retry_after = self.overload_guard.admit(routed.route)
        if retry_after is not None:
            inputs = self.overload_guard.describe(routed.route)
            self._refuse(routed, FailureReason.OVERLOADED, retry_after, inputs)
            return
        try:
            query = self._queries.create_gather(
                routed,
                is_suspect,
                partial(self._guard.run, routed.call, self._on_gathered, routed),
            )
        except Exception:
            self._admission.withdraw(routed.route)
            raise
        self._run(routed, query)

    def _start_single(self, routed: RoutedRequest, is_suspect: bool) -> None:
        query = self._queries.create_single(
            routed,
            is_suspect,
            partial(self._guard.run, routed.call, self._on_single, routed),
        )
        self._run(routed, query)

    def _run(self, routed: RoutedRequest, query: AnyQuery) -> None:
        self._running.add(routed, query)
        routed.call.on_disconnect = partial(
            self._guard.run, routed.call, self._on_disconnect, routed
        )
        query.start()

    def _on_gathered(self, routed: RoutedRequest, result: GatherResult) -> None:
        if self._handover.forward_failed(routed, result):
            return
        match result:
            case MergedAnswer():
                response = routed.responses.merged(result)
            case NotAnswered():
                may_have_run = result.may_have_run or routed.has_run_before
                result = replace(result, may_have_run=may_have_run)
                response = routed.responses.failed(result)
        self._finish(routed, response, result)

    def _on_single(self, routed: RoutedRequest, result: SingleResult) -> None:
        if self._handover.forward_failed(routed, result):
            return
        match result:
            case ServiceAnswer():
                self.quarantine_guard.record_survival(routed.call.request)
                response = routed.responses.forwarded(result)
            case _:
                response = routed.responses.failed(result)
        self._finish(routed, response, result)

    def _on_disconnect(self, routed: RoutedRequest) -> None:
        if routed not in self._running:
            return
        query = self._running.remove(routed)
        query.cancel()
        self._admission.release(routed, query, None)
        self._request_log.record_abandoned(routed)

    def _finish(
        self, routed: RoutedRequest, response: HttpResponse, result: AnyResult
    ) -> None:
        query = self._running.remove(routed)
        self._admission.release(routed, query, result)
        self._respond(routed, response, result, query)

    def _respond(
        self,
        routed: RoutedRequest,
        response: HttpResponse,
        result: AnyResult,
        query: AnyQuery | None,
        inputs: dict[str, object] | None = None,
    ) -> None:
        routed.call.respond(response)
        if isinstance(query, GatherQuery) and query.is_answered_at_goal:
            self._answer_delay.record(self.clock.monotonic() - routed.times.goal_at)
        self._request_log.record_response(routed, response, result, query, inputs)

    def _reject(
        self, call: Call, metadata: RequestMetadata, reason: str, response: HttpResponse
    ) -> None:
        call.respond(response)
        self._request_log.record_rejection(call, metadata, reason, response)

    def serve_forwarded(
        self, message: ForwardedRequest, done: Callable[[ForwardedResponse], None]
    ) -> Callable[[], None]:
        """Serve a request that another host has forwarded.

        Parameters
        ----------
        message : ForwardedRequest
            The request.
        done : callable
            Called once with the response, unless the request is cancelled first.

        Returns
        -------
        callable
            Cancels the request.
        """
        return self.peers.accept(message, done, self.serve)

    def serve_delegated(
        self, message: ForwardedRequest, done: Callable[[ForwardedResponse], None]
    ) -> DelegatedCall:
        """Serve a query that another host has delegated.

        Parameters
        ----------
        message : ForwardedRequest
            The query.
        done : callable
            Called once with the response, unless the query is cancelled first.
        """
        return self.peers.accept_delegated(
            message, done, self.serve, self._allow_attempts
        )

    def _allow_attempts(self, call: Call, attempts: int) -> None:
        routed = self._running.find_by_call(call)
        if routed is None:
            return
        query = self._running.find(routed)
        route = self.configuration_manager.find_route(
            call.request.host, call.request.path
        )
        if isinstance(query, GatherQuery) and route is not None:
            query.allow_attempts(min(attempts, route.max_attempts))


def _may_have_run(running: tuple[RoutedRequest, AnyQuery]) -> bool:
    _, query = running
    return query.may_have_run

"""Serves callers' requests: route, check, dispatch and respond."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from foxtailseam.clocks import Clock
from foxtailseam.dispatch import (
    AnswerDelay,
    CallPlan,
    Dispatcher,
    FailureReason,
    GatherQuery,
    GatherResult,
    MergedAnswer,
    NotAnswered,
    QueryTimes,
    ServiceAnswer,
    SingleQuery,
    SingleResult,
)
from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.front._overload_guard import OverloadGuard, QueryDuration
from foxtailseam.front._quarantine_guard import QuarantineGuard
from foxtailseam.front._responses import ResponseBuilder
from foxtailseam.front._startup_queue import StartupQueue
from foxtailseam.front._timing import TimingSettings, query_times
from foxtailseam.http import Call, HttpResponse
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.platform import (
    PlatformRequestTemplate,
    RequestMetadata,
    parse_request_headers,
)
from foxtailseam.quarantine import SuspicionState
from foxtailseam.routing import AllShards, OneService, Route, WeightedServices

# Retry-After of a request that arrived before the first configuration.
RETRY_AFTER_UNCONFIGURED = timedelta(milliseconds=500)
# Retry-After of a request without a usable route while the configuration may be
# out of date.
RETRY_AFTER_STALE = timedelta(seconds=1)

# Failure reasons that show that searchers are overloaded.
_OVERLOAD_REASONS = frozenset(
    {FailureReason.SHED, FailureReason.BUDGET, FailureReason.DEADLINE}
)


@dataclass(frozen=True, slots=True)
class _RoutedRequest:
    """A request that has a route and at least one service to send it to.

    Parameters
    ----------
    call : Call
        The caller's request.
    responses : ResponseBuilder
        Builder of the responses to it.
    route : Route
        Route of the request.
    services : tuple of str
        The service to send it to, or one service for each shard.
    times : QueryTimes
        Points in time by which it must be answered.
    metadata : RequestMetadata
        Identifier and remaining time from the caller's headers.
    version : int
        Version of the configuration that routed the request.
    """

    call: Call
    responses: ResponseBuilder
    route: Route
    services: tuple[str, ...]
    times: QueryTimes
    metadata: RequestMetadata
    version: int

    @property
    def request_id(self) -> str:
        """Return the identifier of the request as text for the log."""
        return self.metadata.identifier.decode("latin-1")


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
        self.metrics = metrics
        self.is_current = is_current
        self.timing = timing
        self.overload_guard = overload_guard
        self.quarantine_guard = quarantine_guard
        self._answer_delay = AnswerDelay(timing.processing_time.total_seconds())
        self._startup_queue = StartupQueue(clock, dispatcher.timers)
        self._running: dict[int, tuple[_RoutedRequest, GatherQuery | SingleQuery]] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait for searchers."""
        return len(self._running)

    def serve(self, call: Call) -> None:
        """Handle a request; it is answered now or once searchers have answered."""
        metadata = parse_request_headers(call.request.headers)
        responses = ResponseBuilder(metadata.identifier)
        if not metadata.identifier:
            self._reject(call, metadata, "no identifier", responses.bad_request())
            return
        if self.configuration_manager.configuration is None:
            self._startup_queue.enqueue(
                call, metadata.remaining, self._reject_unconfigured
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

    def abort_all(self) -> None:
        """Cancel and fail every running request, as the process must stop."""
        for request_key, (routed, query) in list(self._running.items()):
            may_have_run = query.may_have_run
            query.cancel()
            result = NotAnswered(FailureReason.DEADLINE, may_have_run)
            self._finish(
                request_key, routed, routed.responses.failed(result), result, query
            )

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
        services = self._select_services(route)
        if services is None:
            refusal = responses.refused(RETRY_AFTER_STALE)
            self._reject(call, metadata, "no service has a positive weight", refusal)
            return
        version = self.configuration_manager.version
        routed = _RoutedRequest(
            call, responses, route, services, times, metadata, version
        )
        if times.deadline_at <= self.clock.monotonic():
            self._refuse(routed, FailureReason.DEADLINE, None)
            return
        self._start(routed)

    def _refuse(
        self,
        routed: _RoutedRequest,
        reason: FailureReason,
        retry_after: timedelta | None,
        inputs: dict[str, object] | None = None,
    ) -> None:
        result = NotAnswered(reason, False, retry_after)
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

    def _start(self, routed: _RoutedRequest) -> None:
        request = routed.call.request
        state = self.quarantine_guard.state(request)
        if state is SuspicionState.QUARANTINED:
            self._refuse(routed, FailureReason.QUARANTINED, None)
            return
        is_suspect = state is SuspicionState.SUSPECT
        template = PlatformRequestTemplate(request)
        call_plan = CallPlan(
            routed.services[0],
            routed.route,
            request,
            template,
            routed.metadata.identifier,
            routed.times.deadline_at,
        )
        request_key = id(routed)
        if isinstance(routed.route.destination, AllShards):
            retry_after = self.overload_guard.admit(routed.route)
            if retry_after is not None:
                inputs = self.overload_guard.describe(routed.route)
                self._refuse(routed, FailureReason.OVERLOADED, retry_after, inputs)
                return
            call_plans = call_plan.for_services(routed.services)
            query = GatherQuery(
                self.dispatcher,
                call_plans,
                routed.route.destination,
                routed.times,
                lambda result: self._on_gathered(request_key, routed, result),
                partial(self.quarantine_guard.record_survival, request)
                if is_suspect
                else None,
            )
        else:
            query = SingleQuery(
                self.dispatcher,
                call_plan,
                routed.times,
                lambda result: self._on_single(request_key, routed, result),
                is_suspect,
            )
        self._running[request_key] = (routed, query)
        routed.call.on_disconnect = lambda: self._on_disconnect(request_key, routed)
        query.start()

    def _on_gathered(
        self, request_key: int, routed: _RoutedRequest, result: GatherResult
    ) -> None:
        match result:
            case MergedAnswer():
                response = routed.responses.merged(result)
            case NotAnswered():
                response = routed.responses.failed(result)
        self._finish(
            request_key, routed, response, result, self._running[request_key][1]
        )

    def _on_single(
        self, request_key: int, routed: _RoutedRequest, result: SingleResult
    ) -> None:
        match result:
            case ServiceAnswer():
                self.quarantine_guard.record_survival(routed.call.request)
                response = routed.responses.forwarded(result)
            case _:
                response = routed.responses.failed(result)
        self._finish(
            request_key, routed, response, result, self._running[request_key][1]
        )

    def _on_disconnect(self, request_key: int, routed: _RoutedRequest) -> None:
        entry = self._running.pop(request_key, None)
        if entry is None:
            return
        entry[1].cancel()
        self._release_admission(routed, entry[1], False)
        self.metrics.add("requests_abandoned")
        self.log.write(
            EventCode.REQUEST_ABANDONED,
            routed.request_id,
            route=routed.route.name,
            ms=self._elapsed_ms(routed),
        )

    def _finish(
        self,
        request_key: int,
        routed: _RoutedRequest,
        response: HttpResponse,
        result: GatherResult | SingleResult,
        query: GatherQuery | SingleQuery,
    ) -> None:
        self._running.pop(request_key, None)
        self._release_admission(routed, query, _is_overload(result))
        self._respond(routed, response, result, query)

    def _release_admission(
        self, routed: _RoutedRequest, query: GatherQuery | SingleQuery, shed: bool
    ) -> None:
        if isinstance(query, GatherQuery):
            elapsed = self.clock.monotonic() - routed.times.started_at
            duration = QueryDuration(query.time_to_half, query.time_to_quorum, elapsed)
            self.overload_guard.record_end(routed.route, duration, shed)

    def _respond(
        self,
        routed: _RoutedRequest,
        response: HttpResponse,
        result: GatherResult | SingleResult,
        query: GatherQuery | SingleQuery | None,
        inputs: dict[str, object] | None = None,
    ) -> None:
        routed.call.respond(response)
        now = self.clock.monotonic()
        elapsed = timedelta(seconds=now - routed.times.started_at)
        self.metrics.observe("request_latency", elapsed)
        if isinstance(query, GatherQuery) and query.is_answered_at_goal:
            self._answer_delay.record(now - routed.times.goal_at)
        fields = {
            "route": routed.route.name,
            "version": routed.version,
            "version_age_ms": int(self.configuration_manager.age * 1000),
            "status": response.status,
            "ms": self._elapsed_ms(routed),
        } | (inputs or {})
        if query is not None:
            fields["hedges"] = query.hedges
            fields["tried"] = query.describe()
            if query.late_shards:
                fields["late_shards"] = query.late_shards
            if isinstance(query, GatherQuery):
                fields |= self._gather_fields(query)
        match result:
            case MergedAnswer(stamps=stamps, missing=missing):
                fields["parts"] = len(stamps)
                fields["missing"] = missing
                code = EventCode.REQUEST_SERVED
                self.metrics.add("requests_partial" if missing else "requests_complete")
            case ServiceAnswer():
                code = EventCode.REQUEST_SERVED
                self.metrics.add("requests_forwarded")
            case _:
                fields["reason"] = result.reason
                code = EventCode.REQUEST_FAILED
                if not result.may_have_run:
                    code = EventCode.REQUEST_REFUSED
                fields |= self._contact_fields()
                self.metrics.add(f"failures_{result.reason.replace('-', '_')}")
        self.metrics.add(f"answers_{response.status}")
        self.log.write(code, routed.request_id, **fields)

    def _gather_fields(self, query: GatherQuery) -> dict[str, object]:
        """Count the missing shards; return the fields on how the query was sent."""
        sending = query.sending
        if sending is None:
            return {}
        for cause, count in query.missing_causes.items():
            self.metrics.add(f"missing_{cause.replace('-', '_')}", count)
        self.metrics.observe("query_written", timedelta(seconds=sending.written))
        return {
            "started_ms": round(sending.started * 1000, 1),
            "written_ms": round(sending.written * 1000, 1),
            "unwritten": sending.unwritten,
            "connections": sending.connections,
            "denied": query.denied,
        }

    def _contact_fields(self) -> dict[str, object]:
        contacts = self.dispatcher.contacts
        return {
            "contact_age_ms": round(contacts.age * 1000),
            "silent": contacts.silent,
            "unconnectable": contacts.unconnectable,
        }

    def _reject(
        self, call: Call, metadata: RequestMetadata, reason: str, response: HttpResponse
    ) -> None:
        call.respond(response)
        self.metrics.add(f"answers_{response.status}")
        self.log.write(
            EventCode.REQUEST_REFUSED,
            metadata.identifier.decode("latin-1"),
            reason=reason,
            host_header=call.request.host,
            path=call.request.path,
            version=self.configuration_manager.version,
            version_age_ms=int(self.configuration_manager.age * 1000),
            status=response.status,
        )

    def _elapsed_ms(self, routed: _RoutedRequest) -> float:
        return round((self.clock.monotonic() - routed.times.started_at) * 1000, 1)


def _is_overload(result: GatherResult | SingleResult) -> bool:
    match result:
        case NotAnswered(reason=reason):
            return reason in _OVERLOAD_REASONS
        case _:
            return False

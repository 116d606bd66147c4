"""Serves callers' requests: plan, filters, dispatch, answer."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from foxtailseam.clocks import Clock
from foxtailseam.dispatch import (
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
from foxtailseam.front._answers import Answers
from foxtailseam.front._knowledge import Knowledge
from foxtailseam.front._overload import OverloadGuard
from foxtailseam.front._startup import StartupLine
from foxtailseam.front._suspicion import SuspicionGuard
from foxtailseam.front._timing import TimingSettings, query_times
from foxtailseam.http import Call, HttpResponse
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.platform import PlatformTemplate, RequestMarks, read_request
from foxtailseam.quarantine import SuspicionState
from foxtailseam.routing import AllShards, OneService, Route, WeightedServices

# A caller that comes before the host knows its configuration.
RETRY_UNTIL_READY = timedelta(milliseconds=500)
# A caller whose route is unknown while the configuration may be out of date.
RETRY_UNTIL_LEVEL = timedelta(seconds=1)

# Why a query comes to nothing when searchers have more work than they can do.
_NO_ROOM = frozenset({FailureReason.SHED, FailureReason.BUDGET, FailureReason.DEADLINE})


@dataclass(frozen=True, slots=True)
class _Plan:
    """A request that passed the filters.

    Parameters
    ----------
    call : Call
        The caller's request.
    answers : Answers
        Its responses.
    route : Route
        Its route.
    services : tuple of str
        The service, or one for each shard.
    times : QueryTimes
        When it must be answered.
    marks : RequestMarks
        What the caller says of it.
    version : int
        Version of the configuration that all of this is from.
    """

    call: Call
    answers: Answers
    route: Route
    services: tuple[str, ...]
    times: QueryTimes
    marks: RequestMarks
    version: int

    @property
    def request_id(self) -> str:
        """Return the identifier of the request for the log."""
        return self.marks.identifier.decode("latin-1")


class FrontEnd:
    """Gives each request its answer.

    Parameters
    ----------
    knowledge : Knowledge
        The configuration in force.
    dispatcher : Dispatcher
        The searchers.
    clock : Clock
        Source of time.
    log : LogWriter
        Where each decision is told.
    metrics : Metrics
        Where counts and latency are kept.
    is_level : callable
        Returns whether the configuration is known to be the newest.
    timing : TimingSettings
        How the latency goal is read.
    guard : OverloadGuard
        Refuses queries that the searchers have no room for.
    suspicion : SuspicionGuard
        Knows the requests that crash searchers.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        dispatcher: Dispatcher,
        clock: Clock,
        log: LogWriter,
        metrics: Metrics,
        is_level: Callable[[], bool],
        timing: TimingSettings,
        guard: OverloadGuard,
        suspicion: SuspicionGuard,
    ):
        self.knowledge = knowledge
        self.dispatcher = dispatcher
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.is_level = is_level
        self.timing = timing
        self.guard = guard
        self.suspicion = suspicion
        self._startup = StartupLine(clock, dispatcher.timers)
        self._running: dict[int, tuple[_Plan, GatherQuery | SingleQuery]] = {}

    @property
    def in_flight(self) -> int:
        """Return how many requests wait for searchers."""
        return len(self._running)

    def serve(self, call: Call) -> None:
        """Answer a request, now or once searchers have answered."""
        marks = read_request(call.request.headers)
        answers = Answers(marks.identifier)
        if not marks.identifier:
            self._turn_away(call, marks, "no identifier", answers.bad_request())
            return
        if self.knowledge.configuration is None:
            self._startup.join(call, marks.remaining, self._not_configured)
            return
        route = self.knowledge.find_route(call.request.host, call.request.path)
        if route is None:
            self._no_route(call, marks, answers)
            return
        self._serve_route(call, marks, answers, route)

    def configured(self) -> None:
        """Serve what came before the configuration."""
        if self._startup.waiting:
            self._startup.release(self.serve)

    def give_up(self) -> None:
        """End every request that still runs: the process must stop."""
        for number, (plan, query) in list(self._running.items()):
            ran = query.may_have_run
            query.cancel()
            result = NotAnswered(FailureReason.DEADLINE, ran)
            self._finish(number, plan, plan.answers.failed(result), result, query)

    def _not_configured(self, call: Call) -> None:
        marks = read_request(call.request.headers)
        refusal = Answers(marks.identifier).refused(RETRY_UNTIL_READY)
        self._turn_away(call, marks, "no configuration yet", refusal)

    def _no_route(self, call: Call, marks: RequestMarks, answers: Answers) -> None:
        if self.is_level():
            self._turn_away(call, marks, "no route", answers.no_route())
        else:
            # The route may have been added in the meantime.
            refusal = answers.refused(RETRY_UNTIL_LEVEL)
            self._turn_away(call, marks, "no route known", refusal)

    def _serve_route(
        self, call: Call, marks: RequestMarks, answers: Answers, route: Route
    ) -> None:
        request = call.request
        times = query_times(
            route, request.arrived_at, request.transit, marks.remaining, self.timing
        )
        services = self._services(route)
        if services is None:
            refusal = answers.refused(RETRY_UNTIL_LEVEL)
            self._turn_away(call, marks, "no part has weight", refusal)
            return
        version = self.knowledge.version
        plan = _Plan(call, answers, route, services, times, marks, version)
        if times.deadline_at <= self.clock.monotonic():
            self._refuse(plan, FailureReason.DEADLINE, None)
            return
        self._start(plan)

    def _refuse(
        self, plan: _Plan, reason: FailureReason, retry_after: timedelta | None
    ) -> None:
        result = NotAnswered(reason, False, retry_after)
        self._conclude(plan, plan.answers.failed(result), result, None)

    def _services(self, route: Route) -> tuple[str, ...] | None:
        match route.destination:
            case OneService(service=service):
                return (service,)
            case WeightedServices() as destination:
                service = self.knowledge.choose_service(destination)
                return (service,) if service else None
            case AllShards(shards=shards):
                return shards

    def _start(self, plan: _Plan) -> None:
        request = plan.call.request
        state = self.suspicion.state(request)
        if state is SuspicionState.QUARANTINED:
            self._refuse(plan, FailureReason.QUARANTINED, None)
            return
        is_suspect = state is SuspicionState.SUSPECT
        template = PlatformTemplate(request)
        first = CallPlan(
            plan.services[0],
            plan.route,
            request,
            template,
            plan.marks.identifier,
            plan.times.deadline_at,
        )
        number = id(plan)
        if isinstance(plan.route.destination, AllShards):
            retry_after = self.guard.admit(plan.route)
            if retry_after is not None:
                self._refuse(plan, FailureReason.OVERLOADED, retry_after)
                return
            plans = tuple(replace(first, service=name) for name in plan.services)
            query = GatherQuery(
                self.dispatcher,
                plans,
                plan.route.destination,
                plan.times,
                lambda result: self._on_gathered(number, plan, result),
                partial(self.suspicion.survived, request) if is_suspect else None,
            )
        else:
            query = SingleQuery(
                self.dispatcher,
                first,
                plan.times,
                lambda result: self._on_single(number, plan, result),
                is_suspect,
            )
        self._running[number] = (plan, query)
        plan.call.on_gone = lambda: self._on_gone(number, plan)
        query.start()

    def _on_gathered(self, number: int, plan: _Plan, result: GatherResult) -> None:
        match result:
            case MergedAnswer():
                response = plan.answers.merged(result)
            case NotAnswered():
                response = plan.answers.failed(result)
        self._finish(number, plan, response, result, self._running[number][1])

    def _on_single(self, number: int, plan: _Plan, result: SingleResult) -> None:
        match result:
            case ServiceAnswer():
                self.suspicion.survived(plan.call.request)
                response = plan.answers.forwarded(result)
            case _:
                response = plan.answers.failed(result)
        self._finish(number, plan, response, result, self._running[number][1])

    def _on_gone(self, number: int, plan: _Plan) -> None:
        running = self._running.pop(number, None)
        if running is None:
            return
        running[1].cancel()
        self._count_out(plan, running[1], False)
        self.metrics.add("requests_abandoned")
        self.log.write(
            EventCode.REQUEST_ABANDONED,
            plan.request_id,
            route=plan.route.name,
            ms=self._elapsed_ms(plan),
        )

    def _finish(
        self,
        number: int,
        plan: _Plan,
        response: HttpResponse,
        result: GatherResult | SingleResult,
        query: GatherQuery | SingleQuery,
    ) -> None:
        self._running.pop(number, None)
        self._count_out(plan, query, _lacked_room(result))
        self._conclude(plan, response, result, query)

    def _count_out(
        self, plan: _Plan, query: GatherQuery | SingleQuery, shed: bool
    ) -> None:
        if isinstance(query, GatherQuery):
            elapsed = self.clock.monotonic() - plan.times.started_at
            self.guard.ended(plan.route, query.time_to_quorum, elapsed, shed)

    def _conclude(
        self,
        plan: _Plan,
        response: HttpResponse,
        result: GatherResult | SingleResult,
        query: GatherQuery | SingleQuery | None,
    ) -> None:
        plan.call.answer(response)
        elapsed = timedelta(seconds=self.clock.monotonic() - plan.times.started_at)
        self.metrics.observe("request_latency", elapsed)
        fields = {
            "route": plan.route.name,
            "version": plan.version,
            "version_age_ms": int(self.knowledge.age * 1000),
            "status": response.status,
            "ms": self._elapsed_ms(plan),
        }
        if query is not None:
            fields["hedges"] = query.hedges
            fields["tried"] = query.describe()
            if query.late_shards:
                fields["late_shards"] = query.late_shards
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
                self.metrics.add(f"failures_{result.reason.replace('-', '_')}")
        self.metrics.add(f"answers_{response.status}")
        self.log.write(code, plan.request_id, **fields)

    def _turn_away(
        self, call: Call, marks: RequestMarks, reason: str, response: HttpResponse
    ) -> None:
        call.answer(response)
        self.metrics.add(f"answers_{response.status}")
        self.log.write(
            EventCode.REQUEST_REFUSED,
            marks.identifier.decode("latin-1"),
            reason=reason,
            host_header=call.request.host,
            path=call.request.path,
            version=self.knowledge.version,
            version_age_ms=int(self.knowledge.age * 1000),
            status=response.status,
        )

    def _elapsed_ms(self, plan: _Plan) -> float:
        return round((self.clock.monotonic() - plan.times.started_at) * 1000, 1)


def _lacked_room(result: GatherResult | SingleResult) -> bool:
    match result:
        case NotAnswered(reason=reason):
            return reason in _NO_ROOM
        case _:
            return False

"""The searchers of all services, with the budgets and lines that requests share."""

import math
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.clocks import Clock
from foxtailseam.dispatch._budget import BudgetSettings, ExtraBudget
from foxtailseam.dispatch._choice import Candidate, choose
from foxtailseam.dispatch._format import AnswerReader
from foxtailseam.dispatch._latency import ResponseTimes
from foxtailseam.dispatch._line import WaitingLine, expected_wait
from foxtailseam.dispatch._placement import Prospect
from foxtailseam.dispatch._searcher import Searcher, SearcherLink
from foxtailseam.http import HttpRequest
from foxtailseam.metrics import Metrics
from foxtailseam.routing import Route, Service

# Part of a searcher's connections that all hosts together take.
CONNECTION_SHARE = 0.85
LEAST_CONNECTIONS = 2
# Hosts assumed while it is not known how many there are.
ASSUMED_HOSTS = 8
# Waiting requests that get a turn for each request that ends.
TURNS = 4


class TimerHandle(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Forget the timer."""


class Timers(Protocol):
    """Calls functions later; an event loop is one."""

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> TimerHandle:
        """Call `callback` after `delay` seconds."""


class Dispatcher:
    """What requests to searchers have in common on this host.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Calls functions later.
    open_link : callable
        Returns the `SearcherLink` for an address and a number of connections.
    read_answer : callable
        Reads what a searcher says of its answer.
    budget_settings : BudgetSettings
        Allowance of extra load for each service.
    failure_domain : str
        Failure domain of this host.
    metrics : Metrics
        Where counts are kept.
    generator : random.Random
        Decides among equal searchers.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        open_link: Callable[[str, int], SearcherLink],
        read_answer: AnswerReader,
        budget_settings: BudgetSettings,
        failure_domain: str,
        metrics: Metrics,
        generator: random.Random,
    ):
        self.clock = clock
        self.timers = timers
        self.open_link = open_link
        self.read_answer = read_answer
        self.budget_settings = budget_settings
        self.failure_domain = failure_domain
        self.metrics = metrics
        self.generator = generator
        self.on_ejected: Callable[[Searcher], None] = lambda searcher: None
        # Gets each searcher that crashed, and the request that it ran.
        self.on_crash: Callable[[Searcher, HttpRequest], None] = lambda *_: None
        self._hosts = ASSUMED_HOSTS
        self._searchers: dict[str, Searcher] = {}
        self._by_service: dict[str, dict[str, Searcher]] = {}
        self._connections: dict[str, int] = {}
        self._budgets: dict[str, ExtraBudget] = {}
        self._lines: dict[str, WaitingLine] = {}
        self._response_times: dict[str, ResponseTimes] = {}

    @property
    def hosts(self) -> int:
        """Return how many hosts share the searchers."""
        return self._hosts

    @hosts.setter
    def hosts(self, value: int) -> None:
        if value == self._hosts:
            return
        self._hosts = value
        for searcher in self._searchers.values():
            searcher.link.limit = self._connection_limit(searcher.entry.service)

    @property
    def searchers(self) -> tuple[Searcher, ...]:
        """Return every searcher in use."""
        return tuple(self._searchers.values())

    def configure(self, services: Iterable[Service]) -> None:
        """Take what is configured of the services."""
        self._connections = {item.name: item.max_connections for item in services}
        for searcher in self._searchers.values():
            searcher.link.limit = self._connection_limit(searcher.entry.service)

    def update_searcher(self, entry: SearcherEntry) -> None:
        """Take a new or changed searcher."""
        known = self._searchers.get(entry.identifier)
        if known is not None and _is_same_run(known.entry, entry):
            known.update(entry)
            if entry.is_draining:
                known.link.retire()
        else:
            self.remove_searcher(entry.identifier)
            link = self.open_link(entry.address, self._connection_limit(entry.service))
            searcher = Searcher(entry, link, self.clock)
            self._searchers[entry.identifier] = searcher
            members = self._by_service.setdefault(entry.service, {})
            members[entry.identifier] = searcher
        self.room_made(entry.service)

    def set_lapsed(self, identifier: str, is_lapsed: bool) -> None:
        """Use a searcher as a last choice, or as any other again."""
        searcher = self._searchers.get(identifier)
        if searcher is not None:
            searcher.is_lapsed = is_lapsed

    def remove_searcher(self, identifier: str) -> None:
        """Use a searcher no more; requests in flight there go on."""
        searcher = self._searchers.pop(identifier, None)
        if searcher is not None:
            del self._by_service[searcher.entry.service][identifier]
            searcher.link.retire()

    def usable(self, service: str) -> list[Searcher]:
        """Return the searchers of a service that take new work."""
        members = self._by_service.get(service, {})
        return [item for item in members.values() if not item.entry.is_draining]

    def choose(
        self, service: str, typical: float, excluded: Iterable[str] = ()
    ) -> Searcher | None:
        """Return the best searcher that has room, or None.

        Parameters
        ----------
        service : str
            Service of the request.
        typical : float
            Typical response time of its route in seconds.
        excluded : iterable of str
            Searchers that were tried already.
        """
        best = self._best(service, typical, excluded)
        return self._searchers[best.identifier] if best else None

    def prospect(
        self, service: str, typical: float
    ) -> tuple[Prospect, Searcher | None]:
        """Return what may be expected of a service, and its best searcher.

        Parameters
        ----------
        service : str
            Service of the request.
        typical : float
            Typical response time of its route in seconds.
        """
        best = self._best(service, typical, ())
        if best is None:
            return Prospect(math.inf), None
        expected = math.inf if best.is_ejected else best.expected(typical)
        searcher = self._searchers[best.identifier]
        return Prospect(expected, searcher.in_flight), searcher

    def _best(
        self, service: str, typical: float, excluded: Iterable[str]
    ) -> Candidate | None:
        candidates = [
            searcher.candidate(self.failure_domain)
            for searcher in self.usable(service)
            if searcher.entry.identifier not in excluded and searcher.has_room
        ]
        return choose(candidates, typical, self.generator.random())

    def lost(self, searcher: Searcher, request: HttpRequest) -> None:
        """Find out whether a searcher crashed while it ran a request."""

        def probed(accepts: bool) -> None:
            if not accepts:
                self.on_crash(searcher, request)

        searcher.link.probe(probed)

    def budget(self, service: str) -> ExtraBudget:
        """Return the budget of extra load of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = ExtraBudget(self.budget_settings, self.clock)
            self._budgets[service] = budget
        return budget

    def line(self, service: str) -> WaitingLine:
        """Return the requests that wait for room at a service."""
        return self._lines.setdefault(service, WaitingLine())

    def response_times(self, route: Route) -> ResponseTimes:
        """Return the recent response times of a route."""
        times = self._response_times.get(route.name)
        if times is None:
            times = ResponseTimes(route.latency_goal.total_seconds())
            self._response_times[route.name] = times
        return times

    def expected_wait(self, service: str, route: Route, deadline_at: float) -> float:
        """Return how long a new request would wait for room, in seconds."""
        ahead = self.line(service).ahead_of(route.priority, deadline_at)
        slots = sum(searcher.entry.slots for searcher in self.usable(service))
        return expected_wait(ahead, slots, self.response_times(route).median)

    def room_made(self, service: str) -> None:
        """Let waiting requests go on while there is room."""
        line = self._lines.get(service)
        if line is None:
            return
        # One that has tried every searcher with room joins the line again.
        for _ in range(TURNS):
            if not any(item.has_room for item in self.usable(service)):
                return
            if not line.admit():
                return

    def _connection_limit(self, service: str) -> int:
        most = self._connections.get(service, 0)
        if not most:
            return LEAST_CONNECTIONS
        return max(LEAST_CONNECTIONS, int(CONNECTION_SHARE * most / self._hosts))


def _is_same_run(known: SearcherEntry, entry: SearcherEntry) -> bool:
    return (known.address, known.service, known.started_ms) == (
        entry.address,
        entry.service,
        entry.started_ms,
    )

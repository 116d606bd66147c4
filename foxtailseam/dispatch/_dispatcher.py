"""Registry of searchers with the per-service state that concurrent requests share."""

import math
import random
from collections.abc import Callable, Collection, Iterable

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.clocks import Clock, Timers
from foxtailseam.dispatch._budget import BudgetSettings, ExtraLoadBudget
from foxtailseam.dispatch._gates import SearcherGates
from foxtailseam.dispatch._latency import ResponseTimes
from foxtailseam.dispatch._results import FailureReason
from foxtailseam.dispatch._searcher import Searcher, SearcherPool
from foxtailseam.dispatch._searcher_selection import Candidate, choose_searcher
from foxtailseam.dispatch._shard_selection import ShardEstimate
from foxtailseam.dispatch._traffic import TrafficCounter
from foxtailseam.dispatch._wait_queue import expected_wait
from foxtailseam.dispatch._waiting_requests import WaitingRequests
from foxtailseam.dispatch._wire_format import AnswerMetadata, AnswerReader
from foxtailseam.http import HttpRequest
from foxtailseam.locality import LocalityDecision
from foxtailseam.metrics import Metrics
from foxtailseam.rate_limits import RAMP_SECONDS
from foxtailseam.reachability import ContactTracker, LinkMonitor, LinkState
from foxtailseam.routing import Route, Service

# Fraction of a searcher's connection limit that all hosts together may use.
CONNECTION_SHARE = 0.85
MIN_CONNECTIONS = 2
# Number of hosts assumed until the actual number is known.
ASSUMED_HOSTS = 8


class Dispatcher:
    """State that all requests of this host share: searchers, budgets and queues.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Scheduler of delayed calls.
    open_pool : callable
        Returns the `SearcherPool` for an address and a maximum number of
        connections.
    read_answer : callable
        Returns the `AnswerMetadata` for a response status and headers.
    budget_settings : BudgetSettings
        Budget of hedges and retries for each service.
    failure_domain : str
        Failure domain of this host.
    metrics : Metrics
        Registry of the counters to update.
    generator : random.Random
        Breaks ties between searchers of similar cost.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        open_pool: Callable[[str, int], SearcherPool],
        read_answer: AnswerReader,
        budget_settings: BudgetSettings,
        failure_domain: str,
        metrics: Metrics,
        generator: random.Random,
    ):
        self.clock = clock
        self.timers = timers
        self.open_pool = open_pool
        self.read_answer = read_answer
        self.budget_settings = budget_settings
        self.failure_domain = failure_domain
        self.metrics = metrics
        self.generator = generator
        # Called with a searcher that was ejected.
        self.on_ejected: Callable[[Searcher], None] = lambda searcher: None
        # Called with a searcher that crashed and the request it was running.
        self.on_crash: Callable[[Searcher, HttpRequest], None] = lambda *_: None
        # Returns whether requests of a route may be hedged now.
        self.allows_hedges: Callable[[Route], bool] = lambda route: True
        # When this host last heard from any searcher, and whether it reaches them.
        self.contacts = ContactTracker(clock)
        self.links = LinkMonitor(
            clock, timers, generator, self.contacts, self._choose_probe_targets
        )
        # Bytes exchanged with searchers.
        self.traffic = TrafficCounter(failure_domain)
        # Which requests leave the failure domain of this host.
        self.locality = LocalityDecision(clock, failure_domain, generator)
        # When this host may send to the searchers that have reported conditions.
        self.gates = SearcherGates(
            clock, generator, self._find_searcher, failure_domain
        )
        self.gates.conditions.count_searchers = lambda: len(self._searchers)
        # Requests that wait for a searcher.
        self.waiting = WaitingRequests(self, timers)
        self.gates.on_gate_change = self.waiting.admit
        self._hosts = ASSUMED_HOSTS
        self._searchers: dict[str, Searcher] = {}
        self._by_service: dict[str, dict[str, Searcher]] = {}
        # Failure domains whose searchers get no requests.
        self._evacuated: frozenset[str] = frozenset()
        # Searchers of each service that are not draining and not evacuated.
        self._usable: dict[str, tuple[Searcher, ...]] = {}
        self._max_connections: dict[str, int] = {}
        self._budgets: dict[str, ExtraLoadBudget] = {}
        self._response_times: dict[str, ResponseTimes] = {}

    @property
    def hosts(self) -> int:
        """Return the number of hosts that share the searchers."""
        return self._hosts

    @hosts.setter
    def hosts(self, value: int) -> None:
        if value == self._hosts:
            return
        self._hosts = value
        for searcher in self._searchers.values():
            searcher.pool.limit = self._connection_limit(searcher.entry.service)

    @property
    def searchers(self) -> tuple[Searcher, ...]:
        """Return all registered searchers, draining ones included."""
        return tuple(self._searchers.values())

    def configure(self, services: Iterable[Service]) -> None:
        """Apply the configured limits of the services."""
        services = tuple(services)
        self._max_connections = {item.name: item.max_connections for item in services}
        self.locality.retain(self._max_connections)
        for searcher in self._searchers.values():
            searcher.pool.limit = self._connection_limit(searcher.entry.service)
        rates = {item.name: item.warmup_rate for item in services if item.warmup_rate}
        if rates != self.gates.warmup_rates:
            self.gates.warmup_rates = rates
            for searcher in self._searchers.values():
                self._update_warmup(searcher)

    def update_searcher(self, entry: SearcherEntry) -> None:
        """Add a searcher or update a known one.

        An entry with another address, service or start time replaces the searcher.
        """
        self._usable.pop(entry.service, None)
        existing = self._searchers.get(entry.identifier)
        if existing is not None and _is_same_run(existing.entry, entry):
            existing.update(entry)
            self._update_warmup(existing)
            if entry.is_draining:
                existing.pool.retire()
        else:
            self.remove_searcher(entry.identifier)
            pool = self.open_pool(entry.address, self._connection_limit(entry.service))
            searcher = Searcher(entry, pool, self.clock)
            self._searchers[entry.identifier] = searcher
            searchers = self._by_service.setdefault(entry.service, {})
            searchers[entry.identifier] = searcher
            self.gates.update(searcher)
            self._update_warmup(searcher)
        self.waiting.admit(entry.service)

    def _update_warmup(self, searcher: Searcher) -> None:
        """Bound the requests to a cold searcher of a service with such a bound."""
        if searcher.cold_until == -math.inf:
            return
        self.gates.update(searcher)
        if searcher.gate is not None and searcher.gate.warmup is not None:
            seconds = searcher.cold_until + RAMP_SECONDS - self.clock.monotonic()
            self.timers.call_later(max(0.0, seconds), self._end_warmup, searcher)

    def _end_warmup(self, searcher: Searcher) -> None:
        if self._searchers.get(searcher.identifier) is searcher:
            self.gates.update(searcher)
            self.waiting.admit(searcher.entry.service)

    def set_lapsed(self, identifier: str, is_lapsed: bool) -> None:
        """Mark a searcher whose published entry is missing, or clear the mark.

        A lapsed searcher costs more when searchers are compared.
        """
        searcher = self._searchers.get(identifier)
        if searcher is not None:
            searcher.is_lapsed = is_lapsed

    def remove_searcher(self, identifier: str) -> None:
        """Remove a searcher; its requests in flight may still complete."""
        searcher = self._searchers.pop(identifier, None)
        if searcher is not None:
            self._usable.pop(searcher.entry.service, None)
            self.gates.remove(searcher)
            del self._by_service[searcher.entry.service][identifier]
            searcher.pool.retire()

    def set_evacuated(self, domains: frozenset[str]) -> int:
        """Set the failure domains whose searchers get no requests.

        Requests that are sent run to completion. Those that wait for a connection to
        such a searcher, or for a searcher, go to another one or are refused.

        Parameters
        ----------
        domains : frozenset of str
            Names of the failure domains.

        Returns
        -------
        int
            Number of requests that waited for a connection to a searcher that is
            evacuated now.
        """
        added = domains - self._evacuated
        changed = domains ^ self._evacuated
        self._evacuated = domains
        self._usable.clear()
        withdrawn = 0
        services: dict[str, None] = {}
        for searcher in list(self._searchers.values()):
            domain = searcher.entry.failure_domain
            if domain in changed:
                services[searcher.entry.service] = None
            if domain in added:
                withdrawn += searcher.withdraw_unsent()
        if withdrawn:
            self.metrics.add("requests_withdrawn", withdrawn)
        for service in services:
            self.waiting.admit_soon(service)
        return withdrawn

    def is_evacuated(self, service: str) -> bool:
        """Return whether some searchers of a service are evacuated, and all unusable.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        return (
            bool(self._evacuated)
            and not self.usable_searchers(service)
            and any(
                item.entry.failure_domain in self._evacuated
                for item in self._by_service.get(service, {}).values()
            )
        )

    @property
    def evacuated_searchers(self) -> int:
        """Return the number of searchers in evacuated failure domains."""
        if not self._evacuated:
            return 0
        domains = [item.entry.failure_domain for item in self._searchers.values()]
        return sum(domain in self._evacuated for domain in domains)

    def usable_searchers(self, service: str) -> tuple[Searcher, ...]:
        """Return the searchers of a service that are not draining and not evacuated.

        The tuple is kept until the service's searchers or the evacuated domains change,
        since it is asked for at each call to a service.
        """
        usable = self._usable.get(service)
        if usable is None:
            evacuated = self._evacuated
            usable = tuple(
                item
                for item in self._by_service.get(service, {}).values()
                if not item.entry.is_draining
                and item.entry.failure_domain not in evacuated
            )
            self._usable[service] = usable
        return usable

    def open_searchers(
        self, service: str, excluded: Collection[str] = ()
    ) -> tuple[Searcher, ...]:
        """Return the searchers of a service that take requests of this host now.

        A searcher whose slots are full counts. One that drains, has asked for a pause
        or for whose limit this host has to wait does not. One that is leaving, or has
        asked another host for a pause, counts only if no other one can serve; one that
        hosts agree to be slow, only if no other one has room.
        """
        usable = self.usable_searchers(service)
        if not self.gates.by_service.get(service):
            return usable
        now = self.clock.monotonic()
        preferred, avoided, slow = [], [], []
        for searcher in usable:
            gate = searcher.gate
            if gate is None or gate.wait(now) <= 0.0:
                if gate is not None and gate.is_avoided(now):
                    avoided.append(searcher)
                elif gate is not None and gate.is_slow(now):
                    slow.append(searcher)
                else:
                    preferred.append(searcher)
        if slow and not any(
            searcher.has_capacity
            and not searcher.health.is_ejected_at(now)
            and not searcher.is_stalled(now)
            and searcher.identifier not in excluded
            for searcher in preferred
        ):
            preferred += slow
        if any(not searcher.health.is_ejected_at(now) for searcher in preferred):
            return tuple(preferred)
        return (*preferred, *avoided)

    def closed_wait(self, service: str) -> float:
        """Return the seconds until a closed searcher takes some host's request.

        Infinite if no searcher of the service is only closed for a time.

        Parameters
        ----------
        service : str
            Service whose searchers reported conditions.
        """
        now = self.clock.monotonic()
        waits = [
            item.gate.shortest_wait(now)
            for item in self.usable_searchers(service)
            if item.gate is not None and not item.is_open
        ]
        return min(waits, default=math.inf)

    def closed_reason(self, service: str) -> FailureReason:
        """Return why no searcher of a service takes a request of this host."""
        now = self.clock.monotonic()
        gates = [item.gate for item in self.usable_searchers(service) if item.gate]
        if any(gate.is_paused(now) for gate in gates):
            return FailureReason.PAUSED
        is_limited = any(gate.is_limited(now) for gate in gates)
        return FailureReason.RATE_LIMITED if is_limited else FailureReason.NO_SEARCHER

    def choose_searcher(
        self, service: str, median_time: float, excluded: Iterable[str] = ()
    ) -> Searcher | None:
        """Return the best searcher with spare capacity, or None if there is none.

        Parameters
        ----------
        service : str
            Service of the request.
        median_time : float
            Median response time of the request's route, in seconds.
        excluded : iterable of str
            Identifiers of searchers to skip, such as those already tried.
        """
        now = self.clock.monotonic()
        best = self._best_candidate(service, median_time, now, excluded)
        return self._searchers[best.identifier] if best else None

    def estimate(
        self, service: str, median_time: float, now: float
    ) -> tuple[ShardEstimate, Searcher | None]:
        """Return the estimate for a service and its best searcher, if any.

        Parameters
        ----------
        service : str
            Service of the request.
        median_time : float
            Median response time of the request's route, in seconds.
        now : float
            Current monotonic time in seconds.
        """
        best = self._best_candidate(service, median_time, now, ())
        if best is None:
            return ShardEstimate(math.inf), None
        expected = math.inf if best.is_ejected else best.expected_time(median_time)
        searcher = self._searchers[best.identifier]
        return ShardEstimate(expected, searcher.in_flight), searcher

    def _best_candidate(
        self, service: str, median_time: float, now: float, excluded: Iterable[str]
    ) -> Candidate | None:
        can_connect = self.links.is_connected
        locality = self.locality
        # Asked only where a share is kept: a selection is made for each shard call.
        distance_costs = locality.default_costs
        if service in locality.kept:
            distance_costs = locality.distance_costs(service)
        candidates = [
            searcher.candidate(distance_costs, now)
            for searcher in self.open_searchers(service, excluded)
            if searcher.entry.identifier not in excluded
            and searcher.has_capacity
            and (can_connect or searcher.pool.has_idle)
        ]
        return choose_searcher(candidates, median_time, self.generator.random())

    def check_crash(self, searcher: Searcher, request: HttpRequest) -> None:
        """Call `on_crash` if a searcher that lost a request accepts no connections.

        Nothing is known of the searcher unless this host reaches others.
        """
        lost_at = self.clock.monotonic()

        def on_probed(accepts: bool) -> None:
            if not accepts:
                self.links.confirm(lost_at, on_confirmed)

        def on_confirmed(is_connected: bool) -> None:
            if is_connected:
                self.on_crash(searcher, request)

        searcher.pool.probe(on_probed)

    def can_reach(self, services: Iterable[str]) -> bool:
        """Return whether the links of this host allow a request to all services.

        Parameters
        ----------
        services : iterable of str
            Services that the request needs.
        """
        match self.links.state:
            case LinkState.CONNECTED:
                return True
            case LinkState.NO_NEW_CONNECTIONS:
                return all(map(self._has_idle_connection, services))
            case LinkState.ISOLATED:
                return False

    def reset_failures(self) -> None:
        """Forget the failures of all searchers, as this host itself was at fault."""
        for searcher in self._searchers.values():
            searcher.health.reset_failures()

    def _has_idle_connection(self, service: str) -> bool:
        return any(item.pool.has_idle for item in self.open_searchers(service))

    def _choose_probe_targets(self, count: int) -> list[Searcher]:
        """Return random searchers of different services, ejected ones last."""
        services = [name for name in self._by_service if self.usable_searchers(name)]
        self.generator.shuffle(services)
        targets: list[Searcher] = []
        spare: list[Searcher] = []
        for service in services:
            searchers = list(self.usable_searchers(service))
            self.generator.shuffle(searchers)
            searchers.sort(key=lambda item: item.health.is_ejected)
            targets.append(searchers[0])
            spare += searchers[1:]
            if len(targets) == count:
                break
        return (targets + spare)[:count]

    def record_conditions(self, searcher: Searcher, metadata: AnswerMetadata) -> None:
        """Apply the conditions that a searcher's answer reports.

        Parameters
        ----------
        searcher : Searcher
            Searcher to which the request was sent.
        metadata : AnswerMetadata
            What its answer says.
        """
        self.gates.record(searcher, metadata)
        if metadata.pause is not None and searcher.gate is not None:
            delay = searcher.gate.pause_ends_at - self.clock.monotonic()
            service = searcher.entry.service
            self.timers.call_later(max(0.0, delay), self.waiting.admit, service)

    def _find_searcher(self, identifier: str) -> Searcher | None:
        return self._searchers.get(identifier)

    def budget(self, service: str) -> ExtraLoadBudget:
        """Return the budget of hedges and retries of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = ExtraLoadBudget(self.budget_settings, self.clock)
            self._budgets[service] = budget
        return budget

    def response_times(self, route: Route) -> ResponseTimes:
        """Return the response time statistics of a route."""
        times = self._response_times.get(route.name)
        if times is None:
            times = ResponseTimes(route.latency_goal.total_seconds())
            self._response_times[route.name] = times
        return times

    def expected_wait(self, service: str, route: Route, deadline_at: float) -> float:
        """Return the expected queueing time of a new request, in seconds.

        Parameters
        ----------
        service : str
            Service of the request.
        route : Route
            Route of the request; sets its priority.
        deadline_at : float
            Deadline of the request on the monotonic clock, in seconds.
        """
        queue = self.waiting.queues.get(service)
        ahead = queue.count_ahead(route.priority, deadline_at) if queue else 0
        if not ahead:
            return 0.0
        slots = sum(searcher.entry.slots for searcher in self.open_searchers(service))
        return expected_wait(ahead, slots, self.response_times(route).median)

    def _connection_limit(self, service: str) -> int:
        max_connections = self._max_connections.get(service, 0)
        if not max_connections:
            return MIN_CONNECTIONS
        return max(
            MIN_CONNECTIONS, int(CONNECTION_SHARE * max_connections / self._hosts)
        )


def _is_same_run(existing: SearcherEntry, entry: SearcherEntry) -> bool:
    return (existing.address, existing.service, existing.started_ms) == (
        entry.address,
        entry.service,
        entry.started_ms,
    )

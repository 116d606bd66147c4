"""Registry of searchers with the per-service state that concurrent requests share."""

import math
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.clocks import Clock
from foxtailseam.dispatch._budget import BudgetSettings, ExtraLoadBudget
from foxtailseam.dispatch._latency import ResponseTimes
from foxtailseam.dispatch._searcher import Searcher, SearcherPool
from foxtailseam.dispatch._searcher_selection import Candidate, choose_searcher
from foxtailseam.dispatch._shard_selection import ShardEstimate
from foxtailseam.dispatch._wait_queue import WaitQueue, expected_wait
from foxtailseam.dispatch._wire_format import AnswerMetadata, AnswerReader
from foxtailseam.http import HttpRequest
from foxtailseam.metrics import Metrics
from foxtailseam.rate_limits import (
    HostGroup,
    LimitNotice,
    LimitObservations,
    RequestPacer,
)
from foxtailseam.routing import Route, Service

# Fraction of a searcher's connection limit that all hosts together may use.
CONNECTION_SHARE = 0.85
MIN_CONNECTIONS = 2
# Number of hosts assumed until the actual number is known.
ASSUMED_HOSTS = 8
# Maximum number of waiting requests admitted each time a request ends.
MAX_ADMISSIONS = 4


class TimerHandle(Protocol):
    """Handle of a scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the scheduled call."""


class Timers(Protocol):
    """Schedules delayed calls; an asyncio event loop satisfies this protocol."""

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: object
    ) -> TimerHandle:
        """Call `callback` after `delay` seconds."""


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
        # Called with a searcher whose limit changed, and with one that named a limit
        # that cannot be read.
        self.on_limit_change: Callable[[Searcher], None] = lambda searcher: None
        self.on_malformed_limit: Callable[[Searcher], None] = lambda searcher: None
        # What the hosts know of the limits of searchers.
        self.limit_observations = LimitObservations(clock, generator)
        self.limit_observations.on_notice = self._apply_limit_notice
        self._hosts = ASSUMED_HOSTS
        self._host_group = HostGroup()
        self._searchers: dict[str, Searcher] = {}
        self._by_service: dict[str, dict[str, Searcher]] = {}
        # Searchers of each service that are not draining.
        self._usable: dict[str, tuple[Searcher, ...]] = {}
        # Identifiers of the searchers of each service that name a limit.
        self._limited: dict[str, set[str]] = {}
        self._max_connections: dict[str, int] = {}
        self._budgets: dict[str, ExtraLoadBudget] = {}
        self._wait_queues: dict[str, WaitQueue] = {}
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

    def set_host_group(self, group: HostGroup) -> None:
        """Set the hosts that share the limits of searchers."""
        self._host_group = group
        for searcher in self._searchers.values():
            if searcher.pacer is not None:
                self._update_pacer(searcher)

    @property
    def searchers(self) -> tuple[Searcher, ...]:
        """Return all registered searchers, draining ones included."""
        return tuple(self._searchers.values())

    def configure(self, services: Iterable[Service]) -> None:
        """Apply the configured connection limits of the services."""
        self._max_connections = {item.name: item.max_connections for item in services}
        for searcher in self._searchers.values():
            searcher.pool.limit = self._connection_limit(searcher.entry.service)

    def update_searcher(self, entry: SearcherEntry) -> None:
        """Add a searcher or update a known one.

        An entry with another address, service or start time replaces the searcher.
        """
        self._usable.pop(entry.service, None)
        existing = self._searchers.get(entry.identifier)
        if existing is not None and _is_same_run(existing.entry, entry):
            existing.update(entry)
            if entry.is_draining:
                existing.pool.retire()
        else:
            self.remove_searcher(entry.identifier)
            pool = self.open_pool(entry.address, self._connection_limit(entry.service))
            searcher = Searcher(entry, pool, self.clock)
            self._searchers[entry.identifier] = searcher
            searchers = self._by_service.setdefault(entry.service, {})
            searchers[entry.identifier] = searcher
            limit = self.limit_observations.limit(entry.identifier, entry.started_ms)
            self._set_limit(searcher, limit)
        self.admit_waiting(entry.service)

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
            self._limited.get(searcher.entry.service, set()).discard(identifier)
            del self._by_service[searcher.entry.service][identifier]
            searcher.pool.retire()

    def usable_searchers(self, service: str) -> tuple[Searcher, ...]:
        """Return the searchers of a service that are not draining."""
        usable = self._usable.get(service)
        if usable is None:
            searchers = self._by_service.get(service, {}).values()
            usable = tuple(item for item in searchers if not item.entry.is_draining)
            self._usable[service] = usable
        return usable

    def open_searchers(self, service: str) -> tuple[Searcher, ...]:
        """Return the searchers of a service that take requests of this host now.

        A searcher whose slots are full counts, one that is draining or for whose limit
        this host has to wait does not.
        """
        usable = self.usable_searchers(service)
        if not self._limited.get(service):
            return usable
        return tuple([item for item in usable if not item.is_rate_limited])

    def rate_limit_wait(self, service: str) -> float:
        """Return the seconds until a searcher of a service takes some host's request.

        0 without searchers.
        """
        waits = [item.rate_limit_wait for item in self.usable_searchers(service)]
        return min(waits, default=0.0)

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
        candidates = [
            searcher.candidate(self.failure_domain, now)
            for searcher in self.usable_searchers(service)
            if searcher.entry.identifier not in excluded and searcher.has_capacity
        ]
        return choose_searcher(candidates, median_time, self.generator.random())

    def check_crash(self, searcher: Searcher, request: HttpRequest) -> None:
        """Call `on_crash` if a searcher that lost a request accepts no connections."""

        def on_probed(accepts: bool) -> None:
            if not accepts:
                self.on_crash(searcher, request)

        searcher.pool.probe(on_probed)

    def record_limit(self, searcher: Searcher, metadata: AnswerMetadata) -> None:
        """Update the limit of a searcher from its answer.

        The previous limit holds if the answer is another searcher's or names one that
        cannot be read, and if it is a rejection that names none.
        """
        if self._searchers.get(searcher.entry.identifier) is not searcher:
            return
        names_limit = metadata.rate_limit is not None
        if metadata.is_misdirected or (metadata.not_run and not names_limit):
            return
        if metadata.is_limit_malformed:
            self.on_malformed_limit(searcher)
            return
        entry = searcher.entry
        self.limit_observations.record(
            entry.identifier, entry.started_ms, metadata.rate_limit
        )
        self._set_limit(searcher, metadata.rate_limit)

    def _apply_limit_notice(self, notice: LimitNotice) -> None:
        searcher = self._searchers.get(notice.searcher)
        if searcher is None or searcher.entry.started_ms != notice.started_ms:
            return
        self._set_limit(searcher, notice.limit)
        self.admit_waiting(searcher.entry.service)

    def _set_limit(self, searcher: Searcher, limit: float | None) -> None:
        if limit != searcher.rate_limit:
            searcher.rate_limit = limit
            self._update_pacer(searcher)
            self.on_limit_change(searcher)

    def _update_pacer(self, searcher: Searcher) -> None:
        limited = self._limited.setdefault(searcher.entry.service, set())
        if searcher.rate_limit is None:
            searcher.pacer = None
            limited.discard(searcher.entry.identifier)
            return
        limited.add(searcher.entry.identifier)
        now = self.clock.monotonic()
        share = self._host_group.rate_share(
            searcher.entry.identifier, searcher.rate_limit
        )
        if searcher.pacer is None:
            searcher.pacer = RequestPacer(share, now, self.generator.random())
        else:
            searcher.pacer.set_share(share, now)

    def budget(self, service: str) -> ExtraLoadBudget:
        """Return the budget of hedges and retries of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = ExtraLoadBudget(self.budget_settings, self.clock)
            self._budgets[service] = budget
        return budget

    def wait_queue(self, service: str) -> WaitQueue:
        """Return the queue of requests waiting for a searcher of a service."""
        return self._wait_queues.setdefault(service, WaitQueue())

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
        queue = self._wait_queues.get(service)
        ahead = queue.count_ahead(route.priority, deadline_at) if queue else 0
        if not ahead:
            return 0.0
        slots = sum(searcher.entry.slots for searcher in self.open_searchers(service))
        return expected_wait(ahead, slots, self.response_times(route).median)

    def admit_waiting(self, service: str) -> None:
        """Admit waiting requests of a service while a searcher has spare capacity.

        All are admitted, to be refused, if limits leave no searcher that takes them.
        """
        queue = self._wait_queues.get(service)
        if not queue:
            return
        if self.usable_searchers(service) and not self.open_searchers(service):
            while queue.admit_next():
                pass
            return
        # Bounded because a request that has already tried every searcher with
        # spare capacity is queued again at once.
        for _ in range(MAX_ADMISSIONS):
            if not any(item.has_capacity for item in self.usable_searchers(service)):
                return
            if not queue.admit_next():
                return

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

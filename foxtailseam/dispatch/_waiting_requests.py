"""Requests of a host that wait for searchers, and when they are admitted."""

import math
from collections.abc import Callable
from typing import Protocol

from foxtailseam.clocks import Timers
from foxtailseam.dispatch._searcher import Searcher
from foxtailseam.dispatch._wait_queue import WaitEntry, WaitQueue

# Maximum number of waiting requests admitted each time a request ends.
MAX_ADMISSIONS = 4
# Interval of the checks of a queue with requests, in seconds. Capacity can come back
# without an event, for example as the token of a rate limit.
CHECK_SECONDS = 0.1


class SearcherRegistry(Protocol):
    """Knows the searchers that the requests wait for."""

    def usable_searchers(self, service: str) -> tuple[Searcher, ...]:
        """Return the searchers of a service that are not draining and not evacuated."""

    def is_evacuated(self, service: str) -> bool:
        """Return whether searchers of a service are evacuated, and all unusable."""

    def open_searchers(self, service: str) -> tuple[Searcher, ...]:
        """Return the searchers of a service that take requests of this host now."""


class WaitingRequests:
    """Queues of the requests that wait for a searcher, by service.

    A pass admits each request that waits at its beginning at most once. Passes do not
    nest: one that is asked for during another follows in a later turn of the event
    loop. So neither gates nor clocks nor requests can hold up the event loop.

    Parameters
    ----------
    registry : SearcherRegistry
        Searchers of each service.
    timers : Timers
        Scheduler of delayed calls.

    Attributes
    ----------
    queues : dict of str to WaitQueue
        Queue of each service for which a request has waited.
    """

    def __init__(self, registry: SearcherRegistry, timers: Timers):
        self.registry = registry
        self.timers = timers
        self.queues: dict[str, WaitQueue] = {}
        self._is_admitting = False
        # Services whose next pass is scheduled.
        self._scheduled: set[str] = set()
        # Services whose queue is checked at intervals.
        self._checked: set[str] = set()

    def add(
        self,
        service: str,
        priority: int,
        deadline_at: float,
        on_admitted: Callable[[], None],
    ) -> WaitEntry:
        """Add a request to the queue of a service; see `WaitQueue.add`."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = WaitQueue()
        self._schedule_check(service)
        return queue.add(priority, deadline_at, on_admitted)

    def admit(self, service: str) -> None:
        """Admit waiting requests of a service while a searcher has spare capacity.

        All are admitted, to be refused, if no searcher is open.
        """
        if not self.queues.get(service):
            return
        if self._is_admitting:
            self.admit_soon(service)
        else:
            self._pass_over(service, MAX_ADMISSIONS)

    def admit_soon(self, service: str) -> None:
        """Admit waiting requests of a service in a later turn of the event loop."""
        if self.queues.get(service) and service not in self._scheduled:
            self._scheduled.add(service)
            self.timers.call_later(0.0, self._run_scheduled, service)

    def _run_scheduled(self, service: str) -> None:
        self._scheduled.discard(service)
        self.admit(service)

    def _pass_over(self, service: str, max_requests: float) -> None:
        queue = self.queues[service]
        self._is_admitting = True
        try:
            if self._is_closed(service):
                queue.admit(lambda: True, math.inf)
            else:
                queue.admit(lambda: self._has_capacity(service), max_requests)
        finally:
            self._is_admitting = False

    def _is_closed(self, service: str) -> bool:
        registry = self.registry
        if registry.usable_searchers(service):
            return not registry.open_searchers(service)
        return registry.is_evacuated(service)

    def _has_capacity(self, service: str) -> bool:
        return any(item.has_capacity for item in self.registry.open_searchers(service))

    def _schedule_check(self, service: str) -> None:
        if service not in self._checked:
            self._checked.add(service)
            self.timers.call_later(CHECK_SECONDS, self._check, service)

    def _check(self, service: str) -> None:
        """Admit waiting requests, also behind some that have tried what is free."""
        self._checked.discard(service)
        queue = self.queues[service]
        queue.discard_withdrawn()
        if queue:
            self._schedule_check(service)
            self._pass_over(service, math.inf)

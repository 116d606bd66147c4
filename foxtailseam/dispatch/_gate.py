"""When this host may send requests to a searcher that has reported conditions."""

import math
from dataclasses import dataclass

from foxtailseam.conditions import (
    Condition,
    Pause,
    SearcherConditions,
    SlownessEstimate,
)
from foxtailseam.dispatch._slowness import SharedSlowness
from foxtailseam.rate_limits import HostGroup, RequestPacer, WarmupPacer

# A leaving searcher gets no request later than its drain time less this after it first
# said that it leaves, in seconds: the request has to reach it in time.
LEAVING_MARGIN = 0.5


@dataclass(frozen=True, slots=True)
class GateContext:
    """What a gate has to know of this host and the searcher.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    slots : int
        Number of requests that the searcher runs concurrently.
    hosts : HostGroup
        Hosts that share the searcher.
    drain_seconds : float
        Seconds for which a searcher that leaves still serves.
    """

    searcher: str
    slots: int
    hosts: HostGroup
    drain_seconds: float


class SearcherGate:
    """Answers one question: may a request go to the searcher, and if not, from when.

    Parameters
    ----------
    context : GateContext
        This host and the searcher.
    conditions : SearcherConditions
        What is known of the searcher.
    now : float
        Current monotonic time in seconds.
    tokens : float
        Requests that a rate limit allows at once; see `RequestPacer`.
    """

    def __init__(
        self,
        context: GateContext,
        conditions: SearcherConditions,
        now: float,
        tokens: float,
    ):
        self.context = context
        self._conditions = conditions
        self._tokens = tokens
        self._pacer: RequestPacer | None = None
        # Keeps this host within its part while the searcher is cold.
        self.warmup: WarmupPacer | None = None
        # None if no host has reported the searcher as slow.
        self.slowness: SharedSlowness | None = None
        self._update_pacer(now)

    @property
    def conditions(self) -> SearcherConditions:
        """Return what is known of the searcher."""
        return self._conditions

    @property
    def pacer(self) -> RequestPacer | None:
        """Return what keeps this host within its part of a rate limit, if one holds."""
        return self._pacer

    @property
    def rate(self) -> float | None:
        """Return the requests per second that the searcher accepts, if it says so."""
        limit = self._conditions.rate_limit
        return limit.rate if limit is not None else None

    @property
    def is_leaving(self) -> bool:
        """Return whether the searcher is about to stop."""
        return self._conditions.leaving is not None

    def update(
        self, context: GateContext, conditions: SearcherConditions, now: float
    ) -> None:
        """Replace the context and the conditions.

        Parameters
        ----------
        context : GateContext
            This host and the searcher.
        conditions : SearcherConditions
            What is known of the searcher.
        now : float
            Current monotonic time in seconds.
        """
        hosts_changed = context.hosts != self.context.hosts
        rate = self.rate
        self.context = context
        self._conditions = conditions
        if hosts_changed or rate != self.rate:
            self._update_pacer(now)

    def set_estimate(self, estimate: SlownessEstimate | None, now: float) -> None:
        """Set what is estimated of the searcher's slowness; None if nothing is known.

        Parameters
        ----------
        estimate : SlownessEstimate or None
            The estimate.
        now : float
            Current monotonic time in seconds.
        """
        if estimate is None:
            self.slowness = None
        elif self.slowness is None:
            context = self.context
            self.slowness = SharedSlowness(
                context.searcher, context.hosts, estimate, now
            )
        else:
            self.slowness.update(self.context.hosts, estimate)

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        if self.slowness is not None:
            self.slowness.take(now)
        if self._pacer is not None:
            self._pacer.take(now)
        if self.warmup is not None:
            self.warmup.take(now)

    def wait(self, now: float) -> float:
        """Return the seconds until this host may send a request; 0 if it may now.

        Infinite if the searcher takes no more requests in this run.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        pacer_wait = self._pacer.wait(now) if self._pacer is not None else 0.0
        if self.warmup is not None:
            pacer_wait = max(pacer_wait, self.warmup.wait(now))
        return max(pacer_wait, self._pause_wait(now), self._leaving_wait(now))

    def shortest_wait(self, now: float) -> float:
        """Return the seconds until the searcher takes a request of some host.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        wait = max(self._time_left(self._conditions.pause, now), 0.0)
        if self._pacer is not None:
            any_host = 1.0 / self.rate if self.rate else math.inf
            wait = max(wait, min(any_host, self._pacer.wait(now)))
        if self.warmup is not None:
            wait = max(wait, self.warmup.shortest_wait(now))
        return max(wait, self._leaving_wait(now))

    def is_limited(self, now: float) -> bool:
        """Return whether this host has to wait for its part of a rate."""
        pacers = self._pacer, self.warmup
        return any(item is not None and item.wait(now) > 0.0 for item in pacers)

    def is_avoided(self, now: float) -> bool:
        """Return whether other searchers are to be preferred to this one.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        return self.is_leaving or self._time_left(self._conditions.peer_pause, now) > 0

    def is_slow(self, now: float) -> bool:
        """Return whether hosts agree that the searcher is slow, unless this one probes.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        return self.slowness is not None and self.slowness.is_avoided(now)

    def is_paused(self, now: float) -> bool:
        """Return whether the searcher has asked this host for a pause."""
        return self._pause_wait(now) > 0

    @property
    def pause_ends_at(self) -> float:
        """Return when this host may use the searcher again after a pause."""
        pause = self._conditions.pause
        if pause is None:
            return -math.inf
        hosts = self.context.hosts
        return pause.ends_at + hosts.return_delay(
            self.context.searcher, self.context.slots
        )

    def _pause_wait(self, now: float) -> float:
        return max(0.0, self.pause_ends_at - now)

    def _leaving_wait(self, now: float) -> float:
        leaving = self._conditions.leaving
        if leaving is None:
            return 0.0
        ends_at = leaving.since + self.context.drain_seconds - LEAVING_MARGIN
        return 0.0 if now < ends_at else math.inf

    def _update_pacer(self, now: float) -> None:
        rate = self.rate
        if rate is None:
            self._pacer = None
            return
        share = self.context.hosts.rate_share(self.context.searcher, rate)
        if self._pacer is None:
            self._pacer = RequestPacer(share, now, self._tokens)
        else:
            self._pacer.set_share(share, now)

    @staticmethod
    def _time_left(pause: Pause | None, now: float) -> float:
        return 0.0 if pause is None else pause.ends_at - now


def changed_conditions(
    before: SearcherConditions | None, after: SearcherConditions
) -> tuple[Condition, ...]:
    """Return the conditions in `after` that matter to operators and are new.

    Parameters
    ----------
    before : SearcherConditions or None
        What was known before, if anything.
    after : SearcherConditions
        What is known now.
    """
    before = before or SearcherConditions(after.started_ms)
    changed: list[Condition] = []
    rate_before = before.rate_limit and before.rate_limit.rate
    if after.rate_limit is not None and after.rate_limit.rate != rate_before:
        changed.append(after.rate_limit)
    if after.leaving is not None and before.leaving is None:
        changed.append(after.leaving)
    if after.pause is not None and after.pause != before.pause:
        changed.append(after.pause)
    return tuple(changed)

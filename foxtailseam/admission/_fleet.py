"""Share of the requests that all hosts together admit, agreed on by gossip."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from foxtailseam.admission._allocation import Demand, allocate
from foxtailseam.clocks import Clock
from foxtailseam.utils import WholeMilliseconds

Share = Annotated[float, Meta(ge=0, le=1)]
Rate = Annotated[float, Meta(ge=0, le=1e9)]
Name = Annotated[str, Meta(max_length=256)]

# Lower bound of the joint share: some requests must still find out whether the overload
# is over.
MIN_SHARE = 0.02
# Relative fall of the share for each second whose requests are delayed as long as is
# tolerated, and the bound of the delay as a multiple of that; relative rise for each
# second whose requests are not delayed at all. Both are rates in time: a host with few
# requests moves the mean of the fleet as much as one with many.
DECREASE_PER_SECOND = 1.0
MAX_DELAY_FACTOR = 2.5
INCREASE_PER_SECOND = 0.2
# Longest time for which one request stands, in seconds.
MAX_SAMPLE_SECONDS = 1.0
# Lower bounds of the share after one and two requests in a row that were delayed too
# long, while too few other hosts report an overload. More may lower it freely.
UNCONFIRMED_SHARES = (0.9, 0.6)
# A share is sent to others, and accepted from them, below this bound: one late request
# causes no message.
REPORTED_SHARE = 0.85
# Number of other hosts that have to report an overload, and time for which a report
# counts, in seconds. Two late hosts are common on a load that the fleet can serve.
MIN_REPORTERS = 3
REPORT_SECONDS = 4.0
# Half-life of the evidence behind a share, and of the counts of requests, in seconds.
HALF_LIFE_SECONDS = 2.0
# Weight of this host's requests in the mean demand of its failure domain. At half a
# query a second the count of one host alone varies by four fifths.
OWN_WEIGHT = 0.2
# Largest number of requests that counts behind the share of another host.
MAX_EVIDENCE = 1_000.0
# Maximum number of notices, and of failure domains in one, in a message.
MAX_NOTICES = 16
MAX_DOMAINS = 16
# Maximum number of priority classes told apart; lower ones count as the last.
MAX_RANKS = 4
# This host counts as cut off while at most this share of the hosts known is alive, and
# time for which the greatest number of them is remembered, in seconds.
MIN_ALIVE_SHARE = 0.5
MEMBERSHIP_SECONDS = 60.0
# A group is forgotten after this time without requests and reports, in seconds; further
# groups that other hosts name are ignored beyond this number.
GROUP_SECONDS = 60.0
MAX_GROUPS = 1024


@dataclass(frozen=True, slots=True)
class DomainDemand:
    """Requests that arrive at the hosts of one failure domain.

    Parameters
    ----------
    failure_domain : str
        Name of the failure domain.
    rates : tuple of float
        Requests per second at one host on average, by rank of the priority.
    age_ms : int
        Milliseconds since these were counted.
    """

    failure_domain: Name
    rates: Annotated[tuple[Rate, ...], Meta(max_length=MAX_RANKS)]
    age_ms: WholeMilliseconds


@dataclass(frozen=True, slots=True)
class AdmissionNotice:
    """Admitted share of the requests for one set of shards or one service.

    Parameters
    ----------
    group : str
        Name of the service, or of the first shard of the set.
    share : float
        Share of the requests that the fleet can serve by the sender's estimate, 0 to 1.
    evidence : float
        Number of recent requests on which the share is based.
    demands : tuple of DomainDemand
        Demand of each failure domain.
    """

    group: Name
    share: Share
    evidence: Rate
    demands: Annotated[tuple[DomainDemand, ...], Meta(max_length=MAX_DOMAINS)] = ()


@dataclass
class _GroupState:
    """Estimate, recent requests and reports of one group on this host."""

    updated_at: float
    share: float = 1.0
    evidence: float = 0.0
    sampled_at: float = -math.inf
    late_in_a_row: int = 0
    # Arrivals at this host by rank, decaying.
    counts: list[float] = field(default_factory=lambda: [0.0] * MAX_RANKS)
    # Time of the last request or report.
    used_at: float = -math.inf
    # Time of the last report of each other host.
    reporters: dict[str, float] = field(default_factory=dict)
    # Mean rates of the hosts of each failure domain, and when they were counted.
    demands: dict[str, tuple[tuple[float, ...], float]] = field(default_factory=dict)


class FleetAdmission:
    """Joint shares of the fleet; a source of `StateExchange`.

    Each host lowers and raises its own estimate by the delays of its requests. A notice
    moves the receiver's estimate towards the sender's, by the evidence of both.
    Estimates of `REPORTED_SHARE` and more are not sent. The joint share is used only
    while other hosts report an overload, too.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    failure_domain : str
        Failure domain of this host.
    domain_sizes : callable
        Returns the number of alive hosts of each failure domain, this one included.

    References
    ----------
    D. Kempe, A. Dobra, J. Gehrke, "Gossip-based computation of aggregate information",
    FOCS 2003.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.failure_domain = ""
        self.domain_sizes: Callable[[], Mapping[str, int]] = dict
        self._groups: dict[str, _GroupState] = {}
        # Greatest number of hosts known in the last minute, and when it was seen.
        self._known_hosts = (0, -math.inf)

    def count_arrival(self, group: str, rank: int) -> None:
        """Count a request, whether or not it is admitted."""
        state = self._state(group)
        state.used_at = self.clock.monotonic()
        state.counts[min(rank, MAX_RANKS - 1)] += 1.0

    def record(self, group: str, delay: float) -> None:
        """Record the delay of a request that ended.

        Parameters
        ----------
        group : str
            Set of shards or service of the request.
        delay : float
            Time for which it was queued, as a multiple of the tolerated one; infinite
            if it was rejected for lack of capacity.
        """
        state = self._state(group)
        now = self.clock.monotonic()
        elapsed = min(MAX_SAMPLE_SECONDS, now - state.sampled_at)
        state.sampled_at = now
        state.evidence += 1.0
        if delay <= 1.0:
            state.late_in_a_row = 0
            rise = INCREASE_PER_SECOND * (1.0 - delay) * elapsed
            state.share = min(1.0, state.share * math.exp(rise))
            return
        fall = DECREASE_PER_SECOND * min(delay, MAX_DELAY_FACTOR) * elapsed
        share = state.share * math.exp(-fall)
        if not self._is_confirmed(state):
            bounds = (*UNCONFIRMED_SHARES, 0.0)
            bound = bounds[min(state.late_in_a_row, len(UNCONFIRMED_SHARES))]
            share = max(share, min(state.share, bound))
        state.late_in_a_row += 1
        state.share = max(MIN_SHARE, share)

    def share(self, group: str) -> float | None:
        """Return the joint share of a group; None if this host has to decide alone."""
        state = self._groups.get(group)
        if state is None or not state.reporters:
            return None
        state = self._state(group)
        is_overloaded = state.share < REPORTED_SHARE and self._is_confirmed(state)
        return state.share if is_overloaded and not self.is_cut_off() else None

    def admitted_share(self, group: str, rank: int) -> float | None:
        """Return the share of the requests of one rank that this host admits.

        None if this host has to decide alone.

        Parameters
        ----------
        group : str
            Set of shards or service of the request.
        rank : int
            Rank of its priority; 0 is served first.
        """
        share = self.share(group)
        if share is None:
            return None
        demands = self._total_demands(self._groups[group])
        shares = allocate(share, self.failure_domain, demands)
        return shares[min(rank, MAX_RANKS - 1)]

    def is_cut_off(self) -> bool:
        """Return whether at most half of the hosts known lately are alive.

        Updates the number known.
        """
        now = self.clock.monotonic()
        alive = sum(self.domain_sizes().values())
        known, seen_at = self._known_hosts
        if alive >= known or now - seen_at > MEMBERSHIP_SECONDS:
            known = alive
            self._known_hosts = known, now
        return alive <= MIN_ALIVE_SHARE * known

    def joint_shares(self) -> dict[str, float]:
        """Return the joint share of each group by which this host decides now."""
        shares = {group: self.share(group) for group in list(self._groups)}
        return {group: share for group, share in shares.items() if share is not None}

    def notices(self) -> tuple[AdmissionNotice, ...]:
        """Return the groups with the smallest shares; none while nothing is late."""
        self._forget_unused()
        states = {group: self._state(group) for group in self._groups}
        reported = sorted(
            (state.share, group)
            for group, state in states.items()
            if state.share < REPORTED_SHARE
        )
        return tuple(
            AdmissionNotice(
                group,
                round(share, 3),
                round(states[group].evidence, 1),
                self._demand_notices(states[group]),
            )
            for share, group in reported[:MAX_NOTICES]
        )

    def merge(self, sender: object, notices: tuple[AdmissionNotice, ...]) -> None:
        """Merge the shares of another host.

        Parameters
        ----------
        sender : HostRecord
            Record of that host.
        notices : tuple of AdmissionNotice
            Its notices.
        """
        now = self.clock.monotonic()
        for notice in notices[:MAX_NOTICES]:
            has_room = notice.group in self._groups or len(self._groups) < MAX_GROUPS
            # The decoder of messages refuses NaN; these comparisons fail for it, too.
            is_valid = 0.0 <= notice.share < REPORTED_SHARE and notice.evidence >= 0.0
            if not (has_room and is_valid):
                continue
            state = self._state(notice.group)
            state.reporters[sender.address] = state.used_at = now
            # At least one each, so that a host without requests adopts the joint share
            # but no single report replaces what a host has seen itself.
            evidence = min(MAX_EVIDENCE, notice.evidence)
            own, other = 1.0 + state.evidence, 1.0 + evidence
            share = (own * state.share + other * notice.share) / (own + other)
            state.share = max(MIN_SHARE, share)
            state.evidence = (state.evidence + evidence) / 2
            self._merge_demands(state, notice.demands, now)

    def _forget_unused(self) -> None:
        now = self.clock.monotonic()
        self._groups = {
            group: state
            for group, state in self._groups.items()
            if now - state.used_at < GROUP_SECONDS
        }

    def _merge_demands(
        self, state: _GroupState, demands: tuple[DomainDemand, ...], now: float
    ) -> None:
        for demand in demands:
            if not all(rate >= 0.0 for rate in demand.rates):
                continue
            counted_at = now - demand.age_ms / 1000
            known = state.demands.get(demand.failure_domain)
            rates = (*demand.rates, *[0.0] * MAX_RANKS)[:MAX_RANKS]
            is_newer = known is None or counted_at > known[1]
            if is_newer and now - counted_at < REPORT_SECONDS:
                state.demands[demand.failure_domain] = (rates, counted_at)

    def _state(self, group: str) -> _GroupState:
        """Return the state of a group after decaying it to the current time."""
        now = self.clock.monotonic()
        state = self._groups.get(group)
        if state is None:
            state = self._groups[group] = _GroupState(now)
            return state
        elapsed = now - state.updated_at
        if elapsed <= 0.0:
            return state
        decay = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        state.evidence *= decay
        state.counts = [count * decay for count in state.counts]
        # Without requests of this host the share rises, too.
        idle = min(elapsed, now - state.sampled_at - MAX_SAMPLE_SECONDS)
        if idle > 0.0:
            rise = INCREASE_PER_SECOND * idle
            state.share = min(1.0, state.share * math.exp(rise))
        state.updated_at = now
        state.reporters = {
            address: at
            for address, at in state.reporters.items()
            if now - at < REPORT_SECONDS
        }
        state.demands = {
            domain: (rates, at)
            for domain, (rates, at) in state.demands.items()
            if now - at < REPORT_SECONDS
        }
        return state

    def _is_confirmed(self, state: _GroupState) -> bool:
        others = sum(self.domain_sizes().values()) - 1
        return len(state.reporters) >= max(1, min(MIN_REPORTERS, others))

    def _rates(self, state: _GroupState) -> tuple[float, ...]:
        factor = math.log(2) / HALF_LIFE_SECONDS
        return tuple(count * factor for count in state.counts)

    def _own_demand(self, state: _GroupState) -> tuple[float, ...]:
        """Return the mean rates of the hosts of the own failure domain."""
        own = self._rates(state)
        known = state.demands.get(self.failure_domain)
        if known is None or self.clock.monotonic() - known[1] >= REPORT_SECONDS:
            return own
        return tuple(
            OWN_WEIGHT * rate + (1.0 - OWN_WEIGHT) * mean
            for rate, mean in zip(own, known[0], strict=True)
        )

    def _demand_notices(self, state: _GroupState) -> tuple[DomainDemand, ...]:
        now = self.clock.monotonic()
        demands = {**state.demands, self.failure_domain: (self._own_demand(state), now)}
        return tuple(
            DomainDemand(
                name, tuple(round(rate, 2) for rate in rates), int((now - at) * 1000)
            )
            for name, (rates, at) in sorted(demands.items())[:MAX_DOMAINS]
            if now - at < REPORT_SECONDS
        )

    def _total_demands(self, state: _GroupState) -> dict[str, Demand]:
        now = self.clock.monotonic()
        sizes = self.domain_sizes()
        demands = {
            name: rates
            for name, (rates, at) in state.demands.items()
            if now - at < REPORT_SECONDS and name in sizes
        }
        demands[self.failure_domain] = self._own_demand(state)
        return {
            name: tuple(rate * sizes.get(name, 1) for rate in rates)
            for name, rates in demands.items()
        }

"""The gates of all searchers of this host, kept up to date with their conditions."""

import random
from collections.abc import Callable, Sequence

from foxtailseam.clocks import Clock
from foxtailseam.conditions import (
    REPORT_SECONDS,
    Condition,
    ConditionRegistry,
    Leaving,
    Pause,
    RateLimit,
    SearcherConditions,
    Slowness,
    SlownessEstimate,
    SlownessReport,
)
from foxtailseam.dispatch._gate import GateContext, SearcherGate, changed_conditions
from foxtailseam.dispatch._searcher import Searcher
from foxtailseam.dispatch._slowness_detector import (
    PartTiming,
    SlownessDetector,
    SlownessMeasurement,
)
from foxtailseam.dispatch._wire_format import AnswerMetadata
from foxtailseam.rate_limits import (
    RAMP_SECONDS,
    HostGroup,
    WarmupLimit,
    WarmupPacer,
)

# Drain time of searchers until the settings name one, in seconds.
DEFAULT_DRAIN_SECONDS = 3.0
# Time from the start of this host within which it learns of the others, in seconds.
# Until then it sends nothing to cold searchers.
GROUP_SETTLE_SECONDS = 3.0
# How long a host that is no longer alive counts among those that may send to a cold
# searcher, in seconds: it may be cut off from this one and not from the searcher.
LOST_HOST_RETENTION = 600.0
# A host repeats its report on a searcher no more often than this, in seconds.
REPEAT_SECONDS = 1.0
# A host reports a searcher once two of its queries have found it slow, at least this
# many seconds apart: a single slow response may be a short pause.
MIN_SLOW_SECONDS = 0.5
# Part of the searchers that this host reports as slow at most, and the number that it
# may report in any case. Other hosts accept some more from one host.
MAX_REPORTED_SHARE = 0.4
MIN_REPORT_LIMIT = 3


def _ignore(*_: object) -> None:
    pass


class SearcherGates:
    """Opens and closes the gates of searchers as they report conditions.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Spreads the first requests to a limited searcher.
    find : callable
        Returns the registered searcher with an identifier, or None.
    failure_domain : str
        Failure domain of this host.
    """

    def __init__(
        self,
        clock: Clock,
        generator: random.Random,
        find: Callable[[str], Searcher | None],
        failure_domain: str = "",
    ):
        self.clock = clock
        self.generator = generator
        self.find = find
        self.failure_domain = failure_domain
        self.drain_seconds = DEFAULT_DRAIN_SECONDS
        # What the hosts know of the conditions of searchers.
        self.conditions = ConditionRegistry(clock, generator)
        self.conditions.on_notice = self._on_notice
        # Called with a searcher and a condition of it that changed.
        self.on_change: Callable[[Searcher, Condition], None] = lambda *_: None
        # Called with a cold searcher once its requests are bounded.
        self.on_cold: Callable[[Searcher], None] = lambda searcher: None
        # Called with a searcher and the name of a condition that cannot be read.
        self.on_malformed: Callable[[Searcher, str], None] = lambda *_: None
        # Called with the service of a searcher whose gate changed by another host's
        # notice.
        self.on_gate_change: Callable[[str], None] = lambda service: None
        # Called with a searcher and this host's measurement of its slowness.
        self.on_measurement: Callable[[Searcher, SlownessMeasurement], None] = (
            lambda *_: None
        )
        # Called with a searcher that no longer counts as slow, and the estimate.
        self.on_slowness_end: Callable[[Searcher, SlownessEstimate], None] = _ignore
        self._detector = SlownessDetector()
        # Identifiers of the searchers that are estimated to be slow.
        self._slow: set[str] = set()
        # When each searcher that is not reported yet was first found to be slow.
        self._found_slow_at: dict[str, float] = {}
        # The latest report of this host on each searcher.
        self._own_reports: dict[str, SlownessReport] = {}
        self._hosts = HostGroup()
        # The hosts, and those that were alive recently.
        self._all_hosts = HostGroup()
        # When each of the latter was lost.
        self._lost_hosts: dict[str, float] = {}
        # Requests per second to a cold searcher, of the services that have a bound, and
        # how far a window of one second may exceed it.
        self.warmup_rates: dict[str, float] = {}
        self.warmup_excess = 1.5
        self.warmup_slack = 5.0
        self._settles_at = clock.monotonic() + GROUP_SETTLE_SECONDS
        # Identifiers of the searchers of each service that have a gate.
        self.by_service: dict[str, set[str]] = {}

    @property
    def gated(self) -> tuple[Searcher, ...]:
        """Return all searchers that have reported conditions."""
        found = [
            self.find(name) for names in self.by_service.values() for name in names
        ]
        return tuple(searcher for searcher in found if searcher is not None)

    def set_hosts(self, hosts: HostGroup) -> None:
        """Set the hosts that share the searchers."""
        self._remember_lost_hosts(hosts)
        self._hosts = hosts
        for searcher in self.gated:
            self.update(searcher)

    def _remember_lost_hosts(self, hosts: HostGroup) -> None:
        now = self.clock.monotonic()
        # The group of a host that was told of none yet has no addresses.
        for address in self._hosts.addresses - hosts.addresses - {""}:
            self._lost_hosts[address] = now
        self._lost_hosts = {
            address: lost_at
            for address, lost_at in self._lost_hosts.items()
            if address not in hosts.addresses and now - lost_at < LOST_HOST_RETENTION
        }
        self._all_hosts = HostGroup(
            hosts.own_address, hosts.addresses.union(self._lost_hosts)
        )

    def remove(self, searcher: Searcher) -> None:
        """Forget a searcher that is no longer registered."""
        gated = self.by_service.get(searcher.entry.service)
        if gated:
            gated.discard(searcher.entry.identifier)
        self._slow.discard(searcher.entry.identifier)

    def update(self, searcher: Searcher) -> None:
        """Make the gate of a searcher match its conditions; report what changed."""
        entry = searcher.entry
        known = self.conditions.get(entry.identifier, entry.started_ms)
        gate = searcher.gate
        now = self.clock.monotonic()
        is_bounded = (
            entry.service in self.warmup_rates
            and now < searcher.cold_until + RAMP_SECONDS
        )
        if known is None and is_bounded:
            known = SearcherConditions(entry.started_ms)
        if known is None:
            if gate is not None:
                searcher.gate = None
                self.remove(searcher)
            return
        context = GateContext(
            entry.identifier, entry.slots, self._hosts, self.drain_seconds
        )
        before = gate.conditions if gate is not None else None
        if gate is None:
            searcher.gate = SearcherGate(context, known, now, self.generator.random())
            self.by_service.setdefault(entry.service, set()).add(entry.identifier)
        else:
            gate.update(context, known, now)
        self._update_warmup(searcher, is_bounded, now)
        self._set_estimate(searcher, known, now)
        for condition in changed_conditions(before, known):
            self.on_change(searcher, condition)

    def _update_warmup(self, searcher: Searcher, is_bounded: bool, now: float) -> None:
        gate, entry = searcher.gate, searcher.entry
        if not is_bounded:
            gate.warmup = None
            return
        limit = WarmupLimit(
            self.warmup_rates[entry.service], self.warmup_excess, self.warmup_slack
        )
        if gate.warmup is not None:
            gate.warmup.update(limit, self._all_hosts, searcher.cold_until, now)
            return
        gate.warmup = WarmupPacer(
            entry.identifier,
            limit,
            self._all_hosts,
            searcher.cold_until,
            now,
            self.generator.random(),
            self._settles_at,
        )
        self.on_cold(searcher)

    def record(self, searcher: Searcher, metadata: AnswerMetadata) -> None:
        """Apply the conditions that a searcher's answer reports.

        The previous limit holds if the answer names one that cannot be read, and if it
        is a rejection that names none. An answer that says nothing of a pause or of
        leaving ends neither. One from another searcher changes nothing.

        Parameters
        ----------
        searcher : Searcher
            Searcher to which the request was sent.
        metadata : AnswerMetadata
            What its answer says.
        """
        entry = searcher.entry
        if self.find(entry.identifier) is not searcher or metadata.is_misdirected:
            return
        if metadata.malformed:
            self.on_malformed(searcher, metadata.malformed)
        now = self.clock.monotonic()
        conditions = SearcherConditions(
            entry.started_ms,
            rate_limit=_rate_limit(searcher, metadata, now),
            leaving=Leaving(now) if metadata.is_leaving else None,
            pause=None
            if metadata.pause is None
            else Pause(now + metadata.pause.total_seconds()),
        )
        if self.conditions.record(entry.identifier, conditions):
            self.update(searcher)

    def record_part_timings(self, parts: Sequence[PartTiming]) -> None:
        """Compare the searchers by the parts of one query and record what is found.

        A host that knows no other one has nobody to tell and goes by its own averages.

        Parameters
        ----------
        parts : sequence of PartTiming
            Parts of one query of all shards.
        """
        if len(self._hosts.addresses) == 1:
            return
        now = self.clock.monotonic()
        watched = self._slow.union(self._found_slow_at)
        for measurement in self._detector.measure(parts, watched):
            searcher = self.find(measurement.searcher)
            if searcher is not None and self._is_lasting(measurement, now):
                self._record_measurement(searcher, measurement, now)

    def _is_lasting(self, measurement: SlownessMeasurement, now: float) -> bool:
        """Return whether a measurement is more than a single slow response.

        One of a searcher that is estimated to be slow always counts.
        """
        searcher = measurement.searcher
        if searcher in self._slow:
            self._found_slow_at.pop(searcher, None)
            return True
        if not measurement.is_slow:
            self._found_slow_at.pop(searcher, None)
            return False
        found_at = self._found_slow_at.setdefault(searcher, now)
        return now - found_at >= MIN_SLOW_SECONDS

    def remove_expired(self) -> None:
        """End what is estimated of slow searchers if it has expired."""
        now = self.clock.monotonic()
        self._found_slow_at = {
            searcher: found_at
            for searcher, found_at in self._found_slow_at.items()
            if now - found_at < REPORT_SECONDS
        }
        for searcher in self.gated:
            shared = searcher.gate.slowness
            if shared is None or shared.is_slow(now):
                continue
            identifier = searcher.entry.identifier
            if identifier in self._slow:
                self._slow.discard(identifier)
                self.on_slowness_end(searcher, shared.estimate)
            known = self.conditions.get(identifier, searcher.entry.started_ms)
            if known is None or known.slowness is None:
                self.update(searcher)

    def _record_measurement(
        self, searcher: Searcher, measurement: SlownessMeasurement, now: float
    ) -> None:
        entry = searcher.entry
        own = self._own_reports.get(entry.identifier)
        is_repeated = (
            own is not None
            and own.is_slow == measurement.is_slow
            and now - own.observed_at < REPEAT_SECONDS
        )
        if is_repeated or (measurement.is_slow and not self._may_report(now)):
            return
        report = SlownessReport(
            now, measurement.factor, self._hosts.own_address, self.failure_domain
        )
        self._own_reports[entry.identifier] = report
        conditions = SearcherConditions(
            entry.started_ms, slowness=Slowness.from_reports((report,))
        )
        if self.conditions.record(entry.identifier, conditions):
            self.update(searcher)
        self.on_measurement(searcher, measurement)

    def _may_report(self, now: float) -> bool:
        """Return whether this host reports few enough searchers to be trusted."""
        self._own_reports = {
            name: report
            for name, report in self._own_reports.items()
            if not report.is_expired(now)
        }
        reported = sum(report.is_slow for report in self._own_reports.values())
        searchers = self.conditions.count_searchers()
        return reported < max(MIN_REPORT_LIMIT, MAX_REPORTED_SHARE * searchers)

    def _set_estimate(
        self, searcher: Searcher, known: SearcherConditions, now: float
    ) -> None:
        identifier = searcher.entry.identifier
        if known.slowness is None:
            searcher.gate.set_estimate(None, now)
            return
        estimate = self.conditions.estimate(known.slowness, now)
        searcher.gate.set_estimate(estimate, now)
        is_slow = now < estimate.until
        if is_slow and identifier not in self._slow:
            self._slow.add(identifier)
            self.on_change(searcher, known.slowness)
        elif not is_slow and identifier in self._slow:
            self._slow.discard(identifier)
            self.on_slowness_end(searcher, estimate)

    def _on_notice(self, identifier: str) -> None:
        searcher = self.find(identifier)
        if searcher is not None:
            self.update(searcher)
            self.on_gate_change(searcher.entry.service)


def _rate_limit(
    searcher: Searcher, metadata: AnswerMetadata, now: float
) -> RateLimit | None:
    if metadata.rate_limit is not None:
        return RateLimit(metadata.rate_limit, now)
    has_limit = searcher.gate is not None and searcher.gate.rate is not None
    names_none = not metadata.not_run and not metadata.is_limit_malformed
    return RateLimit(None, now) if has_limit and names_none else None

"""Log events and metrics on the conditions of searchers."""

import math

from foxtailseam.conditions import (
    Condition,
    Leaving,
    Pause,
    RateLimit,
    Slowness,
    SlownessEstimate,
)
from foxtailseam.dispatch import (
    MALFORMED_LIMIT,
    MALFORMED_PAUSE,
    Dispatcher,
    Searcher,
    SlownessMeasurement,
)
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics

_MALFORMED_EVENTS = {
    MALFORMED_LIMIT: EventCode.SEARCHER_LIMIT_INVALID,
    MALFORMED_PAUSE: EventCode.SEARCHER_PAUSE_INVALID,
}


class ConditionLog:
    """Writes an event for each change of a searcher's conditions.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher whose searchers report conditions.
    log : LogWriter
        Log that receives the events.
    metrics : Metrics
        Registry of the counters and gauges.
    """

    def __init__(self, dispatcher: Dispatcher, log: LogWriter, metrics: Metrics):
        self.dispatcher = dispatcher
        self.log = log
        self.metrics = metrics

    def record_change(self, searcher: Searcher, condition: Condition) -> None:
        """Write the event of a new or changed condition."""
        match condition:
            case RateLimit(rate=rate):
                self.metrics.add("searcher_limit_changes")
                pacer = searcher.gate.pacer
                interval_ms = pacer and round(pacer.share.interval * 1000)
                self._write(
                    EventCode.SEARCHER_LIMITED,
                    searcher,
                    limit=rate,
                    interval_ms=interval_ms,
                    hosts=self.dispatcher.hosts,
                )
            case Leaving(since=since):
                self.metrics.add("searcher_leaving_notices")
                self._write(
                    EventCode.SEARCHER_LEAVING_SOON,
                    searcher,
                    age_ms=self._milliseconds_since(since),
                )
            case Pause(ends_at=ends_at):
                self.metrics.add("searcher_pauses")
                self._write(
                    EventCode.SEARCHER_PAUSED,
                    searcher,
                    pause_ms=-self._milliseconds_since(ends_at),
                )
            case Slowness():
                self.metrics.add("searchers_reported_slow")
                estimate = searcher.gate.slowness.estimate
                self._write(
                    EventCode.SEARCHER_SLOW,
                    searcher,
                    factor=round(estimate.factor, 1),
                    hosts=" ".join(estimate.reporters),
                    agreed=estimate.is_confirmed,
                )

    def record_measurement(
        self, searcher: Searcher, measurement: SlownessMeasurement
    ) -> None:
        """Write the event of what this host has measured of a searcher."""
        if measurement.is_slow:
            self.metrics.add("searchers_measured_slow")
            code = EventCode.SEARCHER_MEASURED_SLOW
        else:
            self.metrics.add("searchers_measured_normal")
            code = EventCode.SEARCHER_MEASURED_NORMAL
        self._write(code, searcher, factor=round(measurement.factor, 1))

    def record_slowness_end(
        self, searcher: Searcher, estimate: SlownessEstimate
    ) -> None:
        """Write the event of a searcher that is no longer estimated to be slow."""
        reason = "expired" if math.isinf(estimate.cleared_at) else "measured"
        self._write(EventCode.SEARCHER_SLOW_ENDED, searcher, reason=reason)

    def record_ignored_host(self, host: str) -> None:
        """Write the event of a host that reports too many searchers as slow."""
        self.metrics.add("slowness_reporters_ignored")
        self.log.write(EventCode.SLOWNESS_REPORTS_IGNORED, peer=host)

    def record_malformed(self, searcher: Searcher, condition: str) -> None:
        """Write the event of a condition that cannot be read."""
        rate = searcher.gate.rate if searcher.gate is not None else None
        self._write(_MALFORMED_EVENTS[condition], searcher, limit=rate)

    def record_cold(self, searcher: Searcher) -> None:
        """Write the event of a cold searcher whose requests are bounded."""
        warmup = searcher.gate.warmup
        self._write(
            EventCode.SEARCHER_COLD,
            searcher,
            limit=warmup.limit.rate,
            warmup_ms=-self._milliseconds_since(searcher.cold_until),
            is_sender=warmup.is_sender,
        )

    def set_gauges(self) -> None:
        """Set the numbers of searchers that are limited, leaving, pausing or cold."""
        now = self.dispatcher.clock.monotonic()
        gates = [searcher.gate for searcher in self.dispatcher.gates.gated]
        limited = sum(gate.rate is not None for gate in gates)
        self.metrics.set("searchers_limited_now", limited)
        self.metrics.set("searchers_leaving_now", sum(g.is_leaving for g in gates))
        self.metrics.set("searchers_paused_now", sum(g.is_paused(now) for g in gates))
        cold = [g.warmup for g in gates if g.warmup and g.warmup.is_cold(now)]
        self.metrics.set("searchers_cold_now", len(cold))
        self.metrics.set("cold_searchers_sent_to", sum(w.is_sender for w in cold))
        shared = [gate.slowness for gate in gates if gate.slowness is not None]
        slow = sum(item.is_slow(now) for item in shared)
        self.metrics.set("searchers_slow_now", slow)
        avoided = sum(item.is_avoided(now) for item in shared)
        self.metrics.set("searchers_slow_agreed_now", avoided)

    def _write(self, code: EventCode, searcher: Searcher, **fields: object) -> None:
        entry = searcher.entry
        self.log.write(code, searcher=entry.identifier, service=entry.service, **fields)

    def _milliseconds_since(self, at: float) -> int:
        return round((self.dispatcher.clock.monotonic() - at) * 1000)

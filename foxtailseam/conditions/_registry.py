"""Registry of the conditions of all searchers on one host."""

import random
from collections.abc import Callable
from dataclasses import replace

from foxtailseam.clocks import Clock
from foxtailseam.conditions._model import SearcherConditions
from foxtailseam.conditions._notices import (
    ConditionNotice,
    ConditionNotices,
    LeavingNotice,
    LimitNotice,
    PauseNotice,
    ReportNotice,
    SlownessNotice,
)
from foxtailseam.conditions._slowness import (
    REPORT_SECONDS,
    Slowness,
    SlownessEstimate,
    SlownessReport,
)
from foxtailseam.conditions._slowness_spread import RunKey, SlownessSpread

# Maximum number of notices of each kind in one message.
MAX_NOTICES = 64
# Seconds for which hosts tell one another that a searcher is leaving.
LEAVING_NOTICE_SECONDS = 30.0
# Maximum number of runs of one searcher whose conditions are kept.
MAX_RUNS = 4

# Part of the searchers that a host may report as slow before its reports are ignored,
# and the number that it may report in any case. A host itself reports fewer
# (`MAX_REPORTED_SHARE` of `dispatch._gates`).
MAX_TRUSTED_SHARE = 0.5
MIN_TRUSTED_LIMIT = 3

# A host that knows only of a measurement older by this is told the latest one, in
# seconds.
MIN_PROGRESS_SECONDS = 1.0

# Returns the notice of one kind on a searcher's conditions at a time, if there is one.
NoticeBuilder = Callable[[str, SearcherConditions, float], ConditionNotice | None]


class ConditionRegistry:
    """Conditions that searchers reported to this host or, by gossip, to others.

    Only searchers that have reported something are kept. Each run of a searcher has
    conditions of its own: a start time may be wrong, so that none is the latest for
    sure.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Chooses the notices of a message if there are too many.
    """

    def __init__(self, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        # Called with the identifier of a searcher whose conditions another host's
        # notice has changed.
        self.on_notice: Callable[[str], None] = lambda searcher: None
        # Called when it has changed whether a searcher is estimated to be slow.
        self.on_slowness_change: Callable[[], None] = lambda: None
        # Called with a host that reports so many searchers that it is ignored.
        self.on_host_ignored: Callable[[str], None] = lambda host: None
        # Returns the number of searchers; 0 if it is not known yet.
        self.count_searchers: Callable[[], int] = lambda: 0
        # Number of failure domains of the hosts.
        self.failure_domains = 1
        self._spread = SlownessSpread(clock, generator)
        # Times of the reports of slowness of each host by searcher and start time.
        self._slow_reports: dict[str, dict[RunKey, float]] = {}
        self._ignored_hosts: set[str] = set()
        # By searcher and start time; the run that has changed last is the last one.
        self._known: dict[str, dict[int, SearcherConditions]] = {}

    def get(self, searcher: str, started_ms: int) -> SearcherConditions | None:
        """Return the conditions of one run of a searcher; None if there are none.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        started_ms : int
            Start time of the searcher's process, in Unix milliseconds.
        """
        known = self._known.get(searcher, {}).get(started_ms)
        if known is None:
            return None
        known = known.without_expired(self.clock.monotonic())
        return None if known.is_empty else known

    def record(self, searcher: str, conditions: SearcherConditions) -> bool:
        """Merge conditions that a searcher reported; return whether this changed any.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        conditions : SearcherConditions
            What its response said.
        """
        started_ms = conditions.started_ms
        known = self._known.get(searcher, {}).get(started_ms)
        merged = conditions if known is None else known.join(conditions)
        if merged == known or merged.is_empty:
            return False
        if known is None or merged.slowness != known.slowness:
            self._record_slowness(
                (searcher, started_ms), known and known.slowness, merged.slowness
            )
        runs = self._known.setdefault(searcher, {})
        runs.pop(started_ms, None)
        runs[started_ms] = merged
        if len(runs) > MAX_RUNS:
            del runs[next(iter(runs))]
        return True

    def estimate(self, slowness: Slowness, now: float) -> SlownessEstimate:
        """Return the estimate of a searcher's slowness at a monotonic time."""
        return slowness.estimate(now, self._is_trusted, self.failure_domains)

    def notices(
        self,
        is_complete: bool = False,
        known: tuple[SlownessNotice, ...] = (),
    ) -> ConditionNotices:
        """Return up to `MAX_NOTICES` notices of each kind for another host.

        Parameters
        ----------
        is_complete : bool
            Whether the other host has just started.
        known : tuple of SlownessNotice
            Notices of slow searchers that the other host has sent.
        """
        now = self.clock.monotonic()
        self._remove_expired(now)
        return ConditionNotices(
            self._select(_limit_notice, now),
            self._select(_leaving_notice, now),
            self._select(_pause_notice, now),
            self._select_slowness(now, is_complete, known),
        )

    def merge(self, notices: ConditionNotices) -> None:
        """Merge the notices of another host; report changed searchers to `on_notice`.

        Notices that have expired on the way are ignored.
        """
        now = self.clock.monotonic()
        # More are never sent; each is compared with all others of its host.
        notices = replace(notices, slowness=notices.slowness[:MAX_NOTICES])
        for notice in notices.all:
            conditions = notice.to_conditions(now).without_expired(now)
            if self.record(notice.searcher, conditions):
                self.on_notice(notice.searcher)
            elif isinstance(notice, SlownessNotice):
                self._record_duplicate(notice, now)

    def _select(
        self, build_notice: NoticeBuilder, now: float
    ) -> tuple[ConditionNotice, ...]:
        """Return the notices of one kind, a random choice if there are too many."""
        notices = [
            notice
            for searcher, runs in self._known.items()
            for known in runs.values()
            if (notice := build_notice(searcher, known, now)) is not None
        ]
        if len(notices) > MAX_NOTICES:
            notices = self.generator.sample(notices, MAX_NOTICES)
        return tuple(notices)

    def _select_slowness(
        self, now: float, is_complete: bool, known: tuple[SlownessNotice, ...]
    ) -> tuple[SlownessNotice, ...]:
        held = {
            (searcher, conditions.started_ms): conditions.slowness
            for searcher, runs in self._known.items()
            for conditions in runs.values()
            if conditions.slowness is not None
        }
        self._spread.retain(held)
        if not held:
            return ()
        received = {(notice.searcher, notice.started_ms): notice for notice in known}

        def is_known(key: RunKey) -> bool:
            notice = received.get(key)
            return notice is not None and _is_as_new(notice, held[key], now)

        keys = self._spread.select(held, is_known, is_complete)
        return tuple(_slowness_notice(key, held[key], now) for key in keys)

    def _record_duplicate(self, notice: SlownessNotice, now: float) -> None:
        known = self._known.get(notice.searcher, {}).get(notice.started_ms)
        if (
            known is not None
            and known.slowness is not None
            and _is_as_new(notice, known.slowness, now)
        ):
            self._spread.record_duplicate((notice.searcher, notice.started_ms))

    def _record_slowness(
        self, key: RunKey, before: Slowness | None, after: Slowness | None
    ) -> None:
        if after is None:
            return
        now = self.clock.monotonic()
        for report in after.reports:
            if report.is_slow:
                reported = self._slow_reports.setdefault(report.host, {})
                reported[key] = max(report.observed_at, reported.get(key, 0.0))
        estimate = self.estimate(after, now)
        previous = self.estimate(before or Slowness(()), now)
        is_reversed = bool(estimate.reporters) != bool(previous.reporters)
        is_news = is_reversed or estimate.is_confirmed != previous.is_confirmed
        self._spread.record_change(
            key, after.reports[0].observed_at, is_news or before is None
        )
        if is_reversed and self._spread.has_room:
            self.on_slowness_change()

    def _is_trusted(self, host: str) -> bool:
        """Return whether a host reports no more searchers than may be slow.

        Drops its expired reports. The first time that it exceeds the bound, calls
        `on_host_ignored`, and `on_notice` for each searcher that it reports.
        """
        reported = self._slow_reports.get(host)
        searchers = self.count_searchers()
        if not reported or not searchers:
            return True
        max_reported = max(MIN_TRUSTED_LIMIT, MAX_TRUSTED_SHARE * searchers)
        if len(reported) > max_reported:
            expired_at = self.clock.monotonic() - REPORT_SECONDS
            for key in [key for key, at in reported.items() if at < expired_at]:
                del reported[key]
        is_trusted = len(reported) <= max_reported
        if is_trusted:
            self._ignored_hosts.discard(host)
        elif host not in self._ignored_hosts:
            self._ignored_hosts.add(host)
            self.on_host_ignored(host)
            for searcher, _ in list(reported):
                self.on_notice(searcher)
        return is_trusted

    def _remove_expired(self, now: float) -> None:
        current = {
            searcher: _without_expired(runs, now)
            for searcher, runs in self._known.items()
        }
        self._known = {searcher: runs for searcher, runs in current.items() if runs}
        expired_at = now - REPORT_SECONDS
        for host, reported in list(self._slow_reports.items()):
            if all(at < expired_at for at in reported.values()):
                del self._slow_reports[host]
                self._ignored_hosts.discard(host)


def _without_expired(
    runs: dict[int, SearcherConditions], now: float
) -> dict[int, SearcherConditions]:
    current = (known.without_expired(now) for known in runs.values())
    return {known.started_ms: known for known in current if not known.is_empty}


def _limit_notice(
    searcher: str, known: SearcherConditions, now: float
) -> LimitNotice | None:
    limit = known.rate_limit
    if limit is None:
        return None
    age_ms = _milliseconds(now - limit.observed_at)
    return LimitNotice(searcher, known.started_ms, limit.rate, age_ms)


def _leaving_notice(
    searcher: str, known: SearcherConditions, now: float
) -> LeavingNotice | None:
    if known.leaving is None or now - known.leaving.since >= LEAVING_NOTICE_SECONDS:
        return None
    age_ms = _milliseconds(now - known.leaving.since)
    return LeavingNotice(searcher, known.started_ms, age_ms)


def _pause_notice(
    searcher: str, known: SearcherConditions, now: float
) -> PauseNotice | None:
    pauses = [item for item in (known.pause, known.peer_pause) if item is not None]
    if not pauses:
        return None
    ends_at = max(pause.ends_at for pause in pauses)
    return PauseNotice(searcher, known.started_ms, _milliseconds(ends_at - now))


def _slowness_notice(key: RunKey, slowness: Slowness, now: float) -> SlownessNotice:
    searcher, started_ms = key
    current = [item for item in slowness.reports if not item.is_expired(now)]
    # The latest report, and the latest one of another failure domain if there is one.
    first = current[:1]
    others = [
        item for item in current[1:] if item.failure_domain != first[0].failure_domain
    ]
    reports = (*first, *(others or current[1:])[:1])
    return SlownessNotice(
        searcher, started_ms, tuple(_report_notice(item, now) for item in reports)
    )


def _is_as_new(notice: SlownessNotice, held: Slowness, now: float) -> bool:
    """Return whether a notice says nearly as much as the reports that are held."""
    if len(notice.reports) < min(2, len(held.reports)):
        return False
    age = min(report.age_ms for report in notice.reports) / 1000
    return now - age >= held.reports[0].observed_at - MIN_PROGRESS_SECONDS


def _report_notice(report: SlownessReport, now: float) -> ReportNotice:
    return ReportNotice(
        report.host,
        report.failure_domain,
        round(10 * report.factor),
        _milliseconds(now - report.observed_at),
    )


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)

"""Notices by which hosts tell one another the conditions of searchers.

Hosts share no clock, so the notices hold ages and remaining times. Each relay makes a
notice look older than it is, so that one that returns to its sender adds nothing.
"""

from dataclasses import dataclass
from typing import Annotated, NamedTuple

from msgspec import Meta

from foxtailseam.conditions._model import (
    MAX_PAUSE,
    Leaving,
    Pause,
    RateLimit,
    SearcherConditions,
    round_rate,
)
from foxtailseam.conditions._slowness import (
    MAX_REPORTS,
    MAX_SLOW_FACTOR,
    Slowness,
    SlownessReport,
)
from foxtailseam.utils import Integer, SignedWholeMilliseconds

# Requests per second.
Rate = Annotated[float, Meta(ge=0, le=1e9)]

# Longest time that a notice is expected to take from one host to another.
RELAY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Limit of a searcher as one of its answers named it, relayed by hosts.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    started_ms : int
        Start time of the searcher's process; tells runs with one identifier apart.
    limit : float or None
        Requests per second that it accepts from all hosts together; None for no limit.
    age_ms : int
        Milliseconds since the answer, by the clocks of the hosts that relayed it.
    """

    searcher: str
    started_ms: Integer
    limit: Rate | None
    age_ms: SignedWholeMilliseconds

    def to_conditions(self, now: float) -> SearcherConditions:
        """Return the conditions that the notice reports at a monotonic time."""
        observed_at = now - max(0, self.age_ms) / 1000 - RELAY_SECONDS
        rate = None if self.limit is None else round_rate(self.limit)
        limit = RateLimit(rate, observed_at)
        return SearcherConditions(self.started_ms, rate_limit=limit)


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A searcher that said that it is about to stop.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    started_ms : int
        Start time of the searcher's process.
    age_ms : int
        Milliseconds since it first said so.
    """

    searcher: str
    started_ms: Integer
    age_ms: SignedWholeMilliseconds

    def to_conditions(self, now: float) -> SearcherConditions:
        """Return the conditions that the notice reports at a monotonic time."""
        leaving = Leaving(now - max(0, self.age_ms) / 1000)
        return SearcherConditions(self.started_ms, leaving=leaving)


@dataclass(frozen=True, slots=True)
class PauseNotice:
    """A searcher that asked another host for a pause.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    started_ms : int
        Start time of the searcher's process.
    remaining_ms : int
        Milliseconds until the end of the pause.
    """

    searcher: str
    started_ms: Integer
    remaining_ms: SignedWholeMilliseconds

    def to_conditions(self, now: float) -> SearcherConditions:
        """Return the conditions that the notice reports at a monotonic time."""
        seconds = min(self.remaining_ms / 1000, MAX_PAUSE.total_seconds())
        pause = Pause(now + seconds - RELAY_SECONDS)
        return SearcherConditions(self.started_ms, peer_pause=pause)


# Tenths of a factor.
TenthsOfFactor = Annotated[int, Meta(ge=0, le=round(10 * MAX_SLOW_FACTOR))]
# Longest name of a host or a failure domain in a notice.
NoticeName = Annotated[str, Meta(max_length=256)]
# Milliseconds by which a report gets older with each relay. A notice is on its way for
# less, so that none gets younger.
SLOWNESS_RELAY_MS = 100


class ReportNotice(NamedTuple):
    """Report of one host on a searcher; encoded as an array, since there are many.

    Parameters
    ----------
    host : str
        Address of the host that measured.
    failure_domain : str
        Failure domain of that host.
    tenths : int
        Tenths of the factor by which the searcher was slower than others.
    age_ms : int
        Milliseconds since the measurement, by the clocks of the hosts that relayed it.
    """

    host: NoticeName
    failure_domain: NoticeName
    tenths: TenthsOfFactor
    age_ms: SignedWholeMilliseconds


class SlownessNotice(NamedTuple):
    """What hosts have measured of a searcher's slowness; encoded as an array.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    started_ms : int
        Start time of the searcher's process.
    reports : tuple of ReportNotice
        Latest reports.
    """

    searcher: str
    started_ms: Integer
    reports: Annotated[tuple[ReportNotice, ...], Meta(max_length=MAX_REPORTS)]

    def to_conditions(self, now: float) -> SearcherConditions:
        """Return the conditions that the notice reports at a monotonic time."""
        reports = (
            SlownessReport(
                now - (max(0, item.age_ms) + SLOWNESS_RELAY_MS) / 1000,
                item.tenths / 10,
                item.host,
                item.failure_domain,
            )
            for item in self.reports
        )
        current = tuple(item for item in reports if not item.is_expired(now))
        slowness = Slowness.from_reports(current) if current else None
        return SearcherConditions(self.started_ms, slowness=slowness)


ConditionNotice = LimitNotice | LeavingNotice | PauseNotice | SlownessNotice


@dataclass(frozen=True, slots=True)
class ConditionNotices:
    """Notices of one message, by kind.

    Parameters
    ----------
    limits : tuple of LimitNotice
        Limits that searchers named.
    leaving : tuple of LeavingNotice
        Searchers that are about to stop.
    pauses : tuple of PauseNotice
        Searchers that asked for a pause.
    slowness : tuple of SlownessNotice
        Searchers that hosts have found to be slow, or not to be slow any more.
    """

    limits: tuple[LimitNotice, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    pauses: tuple[PauseNotice, ...] = ()
    slowness: tuple[SlownessNotice, ...] = ()

    @property
    def all(self) -> tuple[ConditionNotice, ...]:
        """Return the notices of all kinds."""
        return (*self.limits, *self.leaving, *self.pauses, *self.slowness)

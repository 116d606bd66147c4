"""What hosts have measured of a searcher's slowness, and the estimate from it."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

# Least factor by which a searcher that a host reports is slower than the others.
MIN_SLOW_FACTOR = 3.0
MAX_SLOW_FACTOR = 20.0
# Seconds for which a report counts after its measurement.
REPORT_SECONDS = 8.0
# Reports that are kept of the hosts of one failure domain, and in all.
MAX_DOMAIN_REPORTS = 2
MAX_REPORTS = 4


@dataclass(frozen=True, slots=True, order=True)
class SlownessReport:
    """One host's measurement of a searcher; a later one is greater.

    Parameters
    ----------
    observed_at : float
        Monotonic time of the measurement, in seconds.
    factor : float
        Response time as a multiple of that of comparable searchers; under
        `MIN_SLOW_FACTOR`, the searcher is as fast as others.
    host : str
        Address of the host that measured.
    failure_domain : str
        Failure domain of that host.
    """

    observed_at: float
    factor: float
    host: str
    failure_domain: str

    @property
    def is_slow(self) -> bool:
        """Return whether the host reports the searcher as slow."""
        return self.factor >= MIN_SLOW_FACTOR

    def is_expired(self, now: float) -> bool:
        """Return whether the measurement is too old to count."""
        return now - self.observed_at > REPORT_SECONDS


@dataclass(frozen=True, slots=True)
class SlownessEstimate:
    """Estimate of a searcher's slowness.

    Parameters
    ----------
    factor : float
        Response time as a multiple of the usual one; 1 if no report of slowness counts.
    until : float
        Monotonic time at which the last report expires; negative infinity if none
        counts.
    cleared_at : float
        Monotonic time of the last report that it is as fast as others; negative
        infinity if there is none.
    reporters : tuple of str
        Hosts whose reports of slowness count, the latest first.
    is_confirmed : bool
        Whether hosts of different failure domains agree.
    """

    factor: float
    until: float
    cleared_at: float
    reporters: tuple[str, ...]
    is_confirmed: bool


@dataclass(frozen=True, slots=True)
class Slowness:
    """The latest reports on one run of a searcher.

    Parameters
    ----------
    reports : tuple of SlownessReport
        As `from_reports` selects them.
    """

    reports: tuple[SlownessReport, ...]

    @classmethod
    def from_reports(cls, reports: tuple[SlownessReport, ...]) -> "Slowness":
        """Return the latest report of each host, within the bounds, latest first."""
        selected: list[SlownessReport] = []
        seen: set[tuple[str, str]] = set()
        domains: Counter[str] = Counter()
        for report in sorted(reports, reverse=True):
            host, domain = report.host, report.failure_domain
            if (host, domain) in seen or domains[domain] == MAX_DOMAIN_REPORTS:
                continue
            seen.add((host, domain))
            domains[domain] += 1
            selected.append(report)
            if len(selected) == MAX_REPORTS:
                break
        return cls(tuple(selected))

    def join(self, other: "Slowness") -> "Slowness":
        """Return the latest reports of both."""
        return Slowness.from_reports((*self.reports, *other.reports))

    def is_expired(self, now: float) -> bool:
        """Return whether no report counts any more."""
        return all(report.is_expired(now) for report in self.reports)

    def estimate(
        self,
        now: float,
        is_trusted: Callable[[str], bool] = lambda host: True,
        failure_domains: int = 1,
    ) -> SlownessEstimate:
        """Return the estimate.

        A report that the searcher is as fast as others cancels older ones of slowness.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        is_trusted : callable
            Returns whether the reports of a host count.
        failure_domains : int
            Number of failure domains of the hosts. With one, two hosts of it agree.
        """
        current = [item for item in self.reports if not item.is_expired(now)]
        cleared_at = max(
            (item.observed_at for item in current if not item.is_slow),
            default=-math.inf,
        )
        slow_reports = [
            item
            for item in current
            if item.is_slow and item.observed_at > cleared_at and is_trusted(item.host)
        ]
        if not slow_reports:
            return SlownessEstimate(1.0, -math.inf, cleared_at, (), False)
        hosts = {item.host for item in slow_reports}
        domains = {item.failure_domain for item in slow_reports}
        return SlownessEstimate(
            max(item.factor for item in slow_reports),
            slow_reports[0].observed_at + REPORT_SECONDS,
            cleared_at,
            tuple(item.host for item in slow_reports),
            len(hosts) > 1 and (failure_domains == 1 or len(domains) > 1),
        )

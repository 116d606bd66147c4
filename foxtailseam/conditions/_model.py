"""Conditions of one searcher, and how two reports of them merge."""

from dataclasses import dataclass, fields, replace
from datetime import timedelta

from foxtailseam.conditions._slowness import Slowness


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate of requests that a searcher accepts from all hosts together.

    Parameters
    ----------
    rate : float or None
        Requests per second; None if the searcher no longer names a limit.
    observed_at : float
        Monotonic time of the response, in seconds.
    """

    rate: float | None
    observed_at: float

    def join(self, other: "RateLimit") -> "RateLimit":
        """Return the newer observation.

        Of two at the same time, the one without a limit, else that of the lower limit.
        """
        return max(self, other, key=_limit_order)

    def is_expired(self, now: float) -> bool:
        """Return whether the observation is too old to be kept."""
        return now - self.observed_at > RETENTION_SECONDS


@dataclass(frozen=True, slots=True)
class Leaving:
    """The searcher is about to stop; this never ends for one run of it.

    Parameters
    ----------
    since : float
        Monotonic time of the first response that said so, in seconds.
    """

    since: float

    def join(self, other: "Leaving") -> "Leaving":
        """Return the earlier report."""
        return min(self, other, key=lambda item: item.since)

    def is_expired(self, now: float) -> bool:
        """Return whether the searcher must have stopped long ago."""
        return now - self.since > LEAVING_RETENTION_SECONDS


@dataclass(frozen=True, slots=True)
class Pause:
    """The searcher wants no requests for a while.

    Parameters
    ----------
    ends_at : float
        Monotonic time of the end of the pause, in seconds.
    """

    ends_at: float

    def join(self, other: "Pause") -> "Pause":
        """Return the pause that ends later."""
        return max(self, other, key=lambda item: item.ends_at)

    def is_expired(self, now: float) -> bool:
        """Return whether the pause is over."""
        return now >= self.ends_at


Condition = RateLimit | Leaving | Pause | Slowness

# Seconds for which an observed limit is kept. The end of a limit is kept as long as the
# limit itself, so that no host hears of the limit again afterwards.
RETENTION_SECONDS = 300.0
# Longer than any searcher needs to stop.
LEAVING_RETENTION_SECONDS = 3600.0


# Longest pause of a searcher that is believed; a longer one counts as this.
MAX_PAUSE = timedelta(hours=1)
# Lowest rate other than 0, in requests per second: the interval between two requests
# can be computed.
MIN_RATE = 1e-6


def round_rate(rate: float) -> float:
    """Return a rate that a searcher has named; one below `MIN_RATE` counts as 0."""
    return rate if rate >= MIN_RATE else 0.0


def _limit_order(item: RateLimit) -> tuple[float, bool, float]:
    return item.observed_at, item.rate is None, -(item.rate or 0.0)


@dataclass(frozen=True, slots=True)
class SearcherConditions:
    """All that is known of the conditions of one searcher.

    Parameters
    ----------
    started_ms : int
        Start time of the searcher's process, in Unix milliseconds; tells two runs with
        one identifier apart.
    rate_limit : RateLimit or None
        Limit that it named last.
    leaving : Leaving or None
        Whether it is about to stop.
    pause : Pause or None
        Pause that it asked this host for.
    peer_pause : Pause or None
        Pause that it asked another host for.
    slowness : Slowness or None
        What hosts have measured of its slowness.
    """

    started_ms: int
    rate_limit: RateLimit | None = None
    leaving: Leaving | None = None
    pause: Pause | None = None
    peer_pause: Pause | None = None
    slowness: Slowness | None = None

    def join(self, other: "SearcherConditions") -> "SearcherConditions":
        """Return what is known from both; a later run replaces an earlier one.

        The operation is commutative, associative and idempotent.
        """
        if self.started_ms != other.started_ms:
            return max(self, other, key=lambda item: item.started_ms)
        return SearcherConditions(
            self.started_ms,
            *(
                _join_optional(getattr(self, name), getattr(other, name))
                for name in CONDITION_NAMES
            ),
        )

    def without_expired(self, now: float) -> "SearcherConditions":
        """Return the conditions that have not expired.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        expired = {
            name: None
            for name in CONDITION_NAMES
            if (item := getattr(self, name)) is not None and item.is_expired(now)
        }
        return replace(self, **expired) if expired else self

    @property
    def is_empty(self) -> bool:
        """Return whether no condition is known."""
        return all(getattr(self, name) is None for name in CONDITION_NAMES)


# Attributes that hold a condition or None; each merges by its own `join`.
CONDITION_NAMES = tuple(field.name for field in fields(SearcherConditions))[1:]


def _join_optional(first: Condition | None, second: Condition | None):
    if first is None or second is None:
        return first or second
    return first.join(second)

"""The spillover share of one service on this host."""

from dataclasses import dataclass
from statistics import median_low

from foxtailseam.locality._share import (
    CONFIRMATIONS,
    CROSS_DOMAIN_COST_SECONDS,
    Observation,
    may_end,
    next_share,
)

# Length of a window, in seconds. It is extended until there are enough answers.
WINDOW_SECONDS = 0.5
MIN_LOCAL_SAMPLES = 4
MIN_REMOTE_SAMPLES = 2
# A longer window is discarded: what it holds is out of date.
MAX_WINDOW_SECONDS = 3.0
# Relative growth a second of the response time without queueing, so that it follows
# searchers that have become slower.
BASE_GROWTH = 0.02
# A share without new answers, or of another host, is no longer used after this time, in
# seconds.
EXPIRY_SECONDS = 5.0
# Half-life of the weight of a share, in seconds.
WEIGHT_HALF_LIFE = 2.0


@dataclass(slots=True)
class Side:
    """Response times at home or away.

    Parameters
    ----------
    samples : list of float
        Response times of the current window, in seconds.
    base : float
        Smallest median of a window, which grows slowly; 0 before the first one.
    """

    samples: list[float]
    base: float = 0.0

    def close(self, growth: float) -> float:
        """End the window and return its median response time in seconds.

        Parameters
        ----------
        growth : float
            Factor by which the base may have grown since the last window.
        """
        median = median_low(self.samples)
        self.base = min(self.base * growth, median) if self.base else median
        self.samples.clear()
        return median


class SpilloverControl:
    """Keeps the share of one service while its requests contend for searchers.

    Parameters
    ----------
    now : float
        Current monotonic time in seconds.
    """

    __slots__ = (
        "_confirmations",
        "_weight",
        "_window_started_at",
        "away",
        "home",
        "share",
        "updated_at",
    )

    def __init__(self, now: float):
        # None while no share is kept.
        self.share: float | None = None
        self.updated_at = now
        # Response times by the side that answered; the caller adds to their samples.
        self.home, self.away = Side([]), Side([])
        self._window_started_at = now
        self._confirmations = 0
        self._weight = 0.0

    def weight(self, now: float) -> float:
        """Return the number of recent answers on which the share rests."""
        return self._weight * 0.5 ** ((now - self.updated_at) / WEIGHT_HALF_LIFE)

    def is_expired(self, now: float) -> bool:
        """Return whether the share rests on nothing recent."""
        return now - self.updated_at > EXPIRY_SECONDS

    def end(self) -> None:
        """Stop keeping a share."""
        self.share = None
        self._weight = 0.0
        self._confirmations = 0

    def update(self, now: float) -> None:
        """End the window if it is long enough, and move the share.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        if now - self._window_started_at >= WINDOW_SECONDS:
            self._close_window(now)

    def adopt(self, share: float, weight: float, now: float) -> None:
        """Move the share towards that of another host, by the weights of both.

        Parameters
        ----------
        share : float
            Share of a host of the same failure domain.
        weight : float
            Number of recent answers on which it rests.
        now : float
            Current monotonic time in seconds.
        """
        if self.share is None:
            self.share = share
            self._weight = 0.0
            self._confirmations = 0
            self.updated_at = now
            return
        own = self.weight(now)
        self.share += (share - self.share) * weight / (own + weight)

    def _close_window(self, now: float) -> None:
        home, away = self.home, self.away
        elapsed = now - self._window_started_at
        if elapsed > MAX_WINDOW_SECONDS:
            home.samples.clear()
            away.samples.clear()
            self._window_started_at = now
            return
        if len(home.samples) < MIN_LOCAL_SAMPLES:
            return
        answers = len(home.samples) + len(away.samples)
        growth = 1.0 + BASE_GROWTH * elapsed
        if len(away.samples) < MIN_REMOTE_SAMPLES:
            self._close_home_window(growth, now)
            return
        remote_share = len(away.samples) / answers
        home_median, away_median = home.close(growth), away.close(growth)
        # The first requests to other domains may have met queues already, so the local
        # base bounds theirs.
        remote_base = min(away.base, home.base + CROSS_DOMAIN_COST_SECONDS)
        observation = Observation(
            home_median, home.base, away_median, remote_base, remote_share
        )
        self._window_started_at = now
        self._apply(observation, answers, now)

    def _close_home_window(self, growth: float, now: float) -> None:
        """End the window of home alone, as too few requests have left.

        The few answers from elsewhere are kept until there are enough.
        """
        home = self.home
        answers = len(home.samples)
        median = home.close(growth)
        self._window_started_at = now
        if self.share is None:
            self.away.samples.clear()
            self._confirmations = 0
            return
        # Without answers from other domains the share does not rise, and it ends once
        # the local response time is normal.
        observation = Observation(median, home.base, median, home.base, 0.0)
        self._apply(observation, answers, now)

    def _apply(self, observation: Observation, answers: int, now: float) -> None:
        is_kept = self.share is not None
        if is_kept:
            self.share = next_share(self.share, observation)
            is_change = may_end(self.share, observation)
        else:
            is_change = observation.is_contended
        self._weight = self.weight(now) + answers
        self.updated_at = now
        self._confirmations = self._confirmations + 1 if is_change else 0
        if self._confirmations < CONFIRMATIONS:
            return
        if is_kept:
            self.end()
        else:
            self.share = observation.leaving
            self._confirmations = 0

"""Decides when a second searcher is asked while the first is silent."""

from dataclasses import dataclass

from foxtailseam.dispatch._latency import ResponseTimes

# Time that a hedge is given to answer, as a multiple of a slow response.
ANSWER_FACTOR = 2.0
SLOW_QUANTILE = 0.9
# A response later than this quantile is hedged while the budget is untouched,
# and later than the other when it is used up: the rest is kept for what is
# held up at its searcher.
EARLY_QUANTILE = 0.8
LATE_QUANTILE = 0.95
# Margin over that quantile.
PATIENCE_FACTOR = 1.1
# No request waits longer than this multiple of a typical response.
MOST_TYPICAL_TIMES = 4.0
# A slow response is at most so many typical ones: a few slow searchers must not
# put off the hedges of all others.
MOST_SPREAD = 2.5


@dataclass(frozen=True, slots=True)
class HedgeInputs:
    """What the time of a hedge depends on.

    Parameters
    ----------
    until_goal : float
        Time left until the answer must leave, in seconds.
    times : ResponseTimes
        Recent response times of the route.
    budget_left : float
        Unused share of the budget of extra load, 0 to 1.
    """

    until_goal: float
    times: ResponseTimes
    budget_left: float


def hedge_delay(inputs: HedgeInputs) -> float:
    """Return how long to wait for the first searcher, in seconds.

    As late as leaves a hedge time to answer before the goal, since what is
    still silent then is held up at its searcher; but not so early that the
    budget would not last.
    """
    span = LATE_QUANTILE - EARLY_QUANTILE
    quantile = LATE_QUANTILE - span * inputs.budget_left
    patience = PATIENCE_FACTOR * _usual(inputs.times, quantile)
    slow = _usual(inputs.times, SLOW_QUANTILE)
    latest = inputs.until_goal - ANSWER_FACTOR * slow
    return max(patience, min(latest, MOST_TYPICAL_TIMES * inputs.times.median))


def least_hedge_delay(times: ResponseTimes) -> float:
    """Return the shortest delay that `hedge_delay` gives, in seconds.

    Parameters
    ----------
    times : ResponseTimes
        Recent response times of the route.
    """
    return PATIENCE_FACTOR * _usual(times, EARLY_QUANTILE)


def _usual(times: ResponseTimes, share: float) -> float:
    return min(times.quantile(share), MOST_SPREAD * times.median)

"""Delay before a request is hedged, that is, also sent to a second searcher."""

from dataclasses import dataclass

from foxtailseam.dispatch._latency import ResponseTimes

# Time reserved for the answer to a hedge, as a multiple of the slow quantile.
HEDGE_TIME_FACTOR = 2.0
SLOW_QUANTILE = 0.9
# A request is hedged no earlier than the early quantile while the budget is unused, and
# no earlier than the late one when it is exhausted. Rising towards the late quantile
# saves the rest of the budget for requests that are stuck at their searcher. The early
# quantile is the lower, the more requests the budget allows to be hedged.
MIN_EARLY_QUANTILE = 0.65
MAX_EARLY_QUANTILE = 0.8
LATE_QUANTILE = 0.95
# Part of the requests that the budget allows to be hedged for which this is planned;
# the rest is left to retries.
HEDGED_PART = 0.6
# Margin by which the delay exceeds that quantile.
QUANTILE_MARGIN = 1.1
# Upper bound of the delay as a multiple of the median, where the quantile allows it.
MAX_DELAY_FACTOR = 4.0
# Upper bound of the quantiles as a multiple of the median, so that a few slow
# searchers do not delay the hedges at all others.
MAX_QUANTILE_FACTOR = 2.5


@dataclass(frozen=True, slots=True)
class HedgeInputs:
    """Inputs of `hedge_delay`.

    Parameters
    ----------
    until_goal : float
        Time from the latest attempt until the answer should be sent, in seconds.
    response_times : ResponseTimes
        Response time statistics of the route.
    budget_left : float
        Unused share of the budget of hedges and retries, 0 to 1.
    allowed_share : float
        Hedges and retries that the budget allows for each request.
    """

    until_goal: float
    response_times: ResponseTimes
    budget_left: float
    allowed_share: float = 0.0


def hedge_delay(inputs: HedgeInputs) -> float:
    """Return the time from the latest attempt to the hedge, in seconds.

    The delay is as long as leaves the hedge time to answer before the goal, since a
    request without an answer by then is probably stuck at its searcher. A lower bound
    keeps the budget from being exhausted.
    """
    early_quantile = min(
        MAX_EARLY_QUANTILE,
        max(MIN_EARLY_QUANTILE, 1.0 - HEDGED_PART * inputs.allowed_share),
    )
    span = LATE_QUANTILE - early_quantile
    quantile = LATE_QUANTILE - span * inputs.budget_left
    min_delay = QUANTILE_MARGIN * _capped_quantile(inputs.response_times, quantile)
    slow_time = _capped_quantile(inputs.response_times, SLOW_QUANTILE)
    latest_delay = inputs.until_goal - HEDGE_TIME_FACTOR * slow_time
    return max(
        min_delay, min(latest_delay, MAX_DELAY_FACTOR * inputs.response_times.median)
    )


def min_hedge_delay(response_times: ResponseTimes) -> float:
    """Return the lower bound of `hedge_delay` for any budget and goal, in seconds.

    Parameters
    ----------
    response_times : ResponseTimes
        Response time statistics of the route.
    """
    return QUANTILE_MARGIN * _capped_quantile(response_times, MIN_EARLY_QUANTILE)


def _capped_quantile(response_times: ResponseTimes, share: float) -> float:
    return min(
        response_times.quantile(share), MAX_QUANTILE_FACTOR * response_times.median
    )

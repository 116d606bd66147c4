"""Decides when a second searcher is asked while the first is silent."""

from dataclasses import dataclass

# Time that a hedge is given to answer, as a multiple of a slow response.
ANSWER_FACTOR = 1.4
# Quantile of response times that counts as a slow response.
SLOW_QUANTILE = 0.9
# No hedge before this multiple of a slow response: it would be wasted.
PATIENCE_FACTOR = 1.15
# No request waits longer than this multiple of a typical response.
MOST_TYPICAL_TIMES = 4.0


@dataclass(frozen=True, slots=True)
class HedgeInputs:
    """What the time of a hedge depends on; all in seconds.

    Parameters
    ----------
    until_goal : float
        Time left until the answer must leave.
    typical, slow : float
        Median and `SLOW_QUANTILE` of the response times of the route.
    """

    until_goal: float
    typical: float
    slow: float


def hedge_delay(inputs: HedgeInputs) -> float:
    """Return how long to wait for the first searcher, in seconds.

    As late as leaves a hedge time to answer before the goal: what is still
    silent then is held up at its searcher, and not just slower than half.
    """
    latest = inputs.until_goal - ANSWER_FACTOR * inputs.slow
    patient = min(latest, MOST_TYPICAL_TIMES * inputs.typical)
    return max(PATIENCE_FACTOR * inputs.slow, patient)

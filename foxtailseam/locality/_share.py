"""Rules by which the spillover share of a service changes; pure functions.

The share is the part of a service's requests that leave the failure domain of their
host. While the service is calm there is no share: each request goes to the searcher
with the lowest cost, and another failure domain adds a constant to it.
"""

from dataclasses import dataclass

# Price of traffic to another failure domain, in seconds of response time. Measured on
# the deployments before the spillover share existed; it keeps them as they were.
CROSS_DOMAIN_COST_SECONDS = 0.012
# A response time this many times that without queueing shows queueing.
QUEUEING_FACTOR = 1.4
# Part of the requests that leaves before a share is kept, and below which it ends.
MIN_REMOTE_SHARE = 0.2
# Differences of the response times within this part of the larger one move nothing.
DEAD_BAND = 0.1
# Largest change of the share in one step, and change for each unit of the relative
# difference of the response times.
MAX_STEP = 0.1
STEP_GAIN = 0.3
# Smallest share while it is kept, so that the other failure domains are still measured.
MIN_SHARE = 0.02
# A kept share as high as this no longer keeps anything at home.
MAX_SHARE = 0.95
# Number of observations in a row that start or end a share.
CONFIRMATIONS = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """Response times of a service over one window.

    Parameters
    ----------
    home : float
        Median response time of the searchers in this host's failure domain, in seconds.
    local_base : float
        The same without queueing.
    away : float
        Median response time of the searchers in other failure domains, the way there
        and back included.
    remote_base : float
        The same without queueing.
    leaving : float
        Part of the answers that came from other failure domains, 0 to 1.
    """

    home: float
    local_base: float
    away: float
    remote_base: float
    leaving: float

    @property
    def is_local_queueing(self) -> bool:
        """Return whether requests wait at the searchers of this failure domain."""
        return self.home > QUEUEING_FACTOR * self.local_base

    @property
    def is_contended(self) -> bool:
        """Return whether requests wait at home and where those that leave go.

        Only then can hosts that decide alike shift the queue back and forth between
        domains.
        """
        is_away_queueing = self.away > QUEUEING_FACTOR * self.remote_base
        return (
            self.is_local_queueing
            and is_away_queueing
            and self.leaving >= MIN_REMOTE_SHARE
        )


def next_share(share: float, observation: Observation) -> float:
    """Return the share after one more observation.

    It rises while waiting at home costs more than leaving, its price included, and
    falls while it costs less.

    Parameters
    ----------
    share : float
        Share until now, 0 to 1.
    observation : Observation
        Response times since the share last changed.
    """
    away = observation.away + CROSS_DOMAIN_COST_SECONDS
    difference = (observation.home - away) / max(observation.home, away)
    if abs(difference) <= DEAD_BAND:
        return share
    step = min(MAX_STEP, max(-MAX_STEP, STEP_GAIN * difference))
    return min(1.0, max(MIN_SHARE, share + step))


def may_end(share: float, observation: Observation) -> bool:
    """Return whether the share need not be kept any longer.

    Either home is quick again, or nearly all requests may leave, so that the share
    holds none back.

    Parameters
    ----------
    share : float
        Current share, 0 to 1.
    observation : Observation
        Response times since the share last changed.
    """
    is_relieved = not observation.is_local_queueing and share < MIN_REMOTE_SHARE
    return is_relieved or share >= MAX_SHARE

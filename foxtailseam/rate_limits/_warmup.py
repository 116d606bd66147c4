"""This host's part of the requests that a cold searcher accepts from all hosts.

The bound holds in each second, so a burst has to be small: only few hosts send, each at
most one request beyond its part of the rate. Half of what the bound allows beyond the
rate is left for hosts that know other members.
"""

import math
from dataclasses import dataclass

from foxtailseam.hosts import rendezvous_draw, rendezvous_subset
from foxtailseam.rate_limits._sharing import HostGroup, RateShare, RequestPacer

# Part of what the bound allows beyond the rate that the senders use up by bursts.
BURST_SHARE = 0.5
# After the cold period the rate doubles at each step, until there is no bound.
RAMP_STEP_SECONDS = 0.5
RAMP_STEPS = 6
RAMP_SECONDS = RAMP_STEPS * RAMP_STEP_SECONDS
# A host does not sort the others if its draw lets expect that more than this many hosts
# rank before it: this factor times the senders, plus the extra ones.
CANDIDATE_FACTOR = 4
EXTRA_CANDIDATES = 8


@dataclass(frozen=True, slots=True)
class WarmupLimit:
    """Requests that a cold searcher accepts from all hosts together.

    Parameters
    ----------
    rate : float
        Requests per second.
    excess : float
        Factor on the rate that no window of one second may exceed.
    slack : float
        Requests in a window that are allowed in addition.
    """

    rate: float
    excess: float = 1.5
    slack: float = 5.0

    def share(self, searcher: str, hosts: HostGroup, step: int = 0) -> RateShare | None:
        """Return the part of a host; None if it sends nothing to the searcher.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        hosts : HostGroup
            All hosts that may send to the searcher.
        step : int
            Number of steps since the end of the cold period; 0 before it.
        """
        rate = self.rate * 2**step
        bound = rate * self.excess + self.slack
        max_senders = max(1, math.floor(BURST_SHARE * (bound - rate)))
        senders = min(len(hosts.addresses), max_senders)
        rate = min(rate, bound - senders)
        if rate <= 0.0:
            return None
        draw = rendezvous_draw(searcher, hosts.own_address)
        candidates = CANDIDATE_FACTOR * senders + EXTRA_CANDIDATES
        if (1.0 - draw) * len(hosts.addresses) > candidates:
            return None
        subset = rendezvous_subset(searcher, hosts.addresses, senders)
        if hosts.own_address not in subset:
            return None
        return RateShare(senders / rate, 1.0, True)


class WarmupPacer:
    """Keeps this host within its part while a searcher is cold, then ramps up.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    limit : WarmupLimit
        What the searcher accepts while it is cold.
    hosts : HostGroup
        All hosts that may send to the searcher.
    ends_at : float
        End of the cold period, on the monotonic clock in seconds.
    now : float
        Current monotonic time in seconds.
    tokens : float
        Requests that may be sent at once; see `RequestPacer`.
    starts_at : float
        Time before which this host sends nothing to a cold searcher.
    """

    def __init__(
        self,
        searcher: str,
        limit: WarmupLimit,
        hosts: HostGroup,
        ends_at: float,
        now: float,
        tokens: float,
        starts_at: float = -math.inf,
    ):
        self.searcher = searcher
        self._limit = limit
        self._hosts = hosts
        self._ends_at = ends_at
        self._tokens = tokens
        self._starts_at = starts_at
        self._pacer: RequestPacer | None = None
        self._step = self._step_at(now)
        self._set_share(now)

    @property
    def limit(self) -> WarmupLimit:
        """Return what the searcher accepts while it is cold."""
        return self._limit

    @property
    def is_sender(self) -> bool:
        """Return whether this host sends to the searcher now."""
        return self._pacer is not None

    def is_cold(self, now: float) -> bool:
        """Return whether the cold period has not ended yet."""
        return now < self._ends_at

    def update(
        self, limit: WarmupLimit, hosts: HostGroup, ends_at: float, now: float
    ) -> None:
        """Replace the limit, the hosts and the end of the cold period.

        Parameters
        ----------
        limit : WarmupLimit
            What the searcher accepts while it is cold.
        hosts : HostGroup
            All hosts that may send to the searcher.
        ends_at : float
            End of the cold period, on the monotonic clock in seconds.
        now : float
            Current monotonic time in seconds.
        """
        has_changed = (limit, hosts) != (self._limit, self._hosts)
        self._limit = limit
        self._hosts = hosts
        self._ends_at = ends_at
        if has_changed:
            self._set_share(now)
        else:
            self._update_step(now)

    def wait(self, now: float) -> float:
        """Return the seconds until this host may send a request; 0 if it may now.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        self._update_step(now)
        if self._step > RAMP_STEPS:
            return 0.0
        if self._pacer is None:
            return self._ends_at + self._step * RAMP_STEP_SECONDS - now
        return max(self._starts_at - now, self._pacer.wait(now))

    def shortest_wait(self, now: float) -> float:
        """Return the seconds until the searcher takes a request of some host.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        return min(self.wait(now), 1.0 / self._limit.rate)

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._update_step(now)
        if self._pacer is not None:
            self._pacer.take(now)

    def _step_at(self, now: float) -> int:
        if now < self._ends_at:
            return 0
        return 1 + int((now - self._ends_at) / RAMP_STEP_SECONDS)

    def _update_step(self, now: float) -> None:
        step = self._step_at(now)
        if step != self._step:
            self._step = step
            self._set_share(now)

    def _set_share(self, now: float) -> None:
        step = min(self._step, RAMP_STEPS)
        share = self._limit.share(self.searcher, self._hosts, step)
        if share is None:
            self._pacer = None
        elif self._pacer is None:
            self._pacer = RequestPacer(share, now, self._tokens)
            # A host that becomes a sender again starts without a saved request.
            self._tokens = 0.0
        else:
            self._pacer.set_share(share, now)

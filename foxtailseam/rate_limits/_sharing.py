"""This host's part of the request rate that a searcher accepts from all hosts.

A searcher that names a limit means the sum over all hosts, which share no counter. So
only a few hosts, chosen by hashing, send to it, each at its part of the rate. The other
hosts send one request now and then, to learn whether the limit still holds.
"""

import math
from dataclasses import dataclass, field

from foxtailseam.hosts import rendezvous_draw, rendezvous_subset

# Hosts that send to a limited searcher for each request per second of its limit, beside
# the first one.
SENDERS_PER_RATE = 1.0
# Requests that the senders of a searcher may send at once, all together, for each
# request per second of its limit, and beside these.
BURST_PER_RATE = 1.0
COMMON_BURST = 2.5
# Mean time between two requests of all other hosts together to a limited searcher, in
# seconds.
PROBE_SPACING = 8.0
# Hosts return to a searcher after a pause in groups of one more than it has slots, this
# many seconds apart, the last ones after the maximum.
RETURN_STEP_SECONDS = 0.1
MAX_RETURN_SECONDS = 2.0
# Number of hosts assumed at least: one that has just started may not know the others.
MIN_ASSUMED_HOSTS = 4


@dataclass(frozen=True, slots=True)
class RateShare:
    """Part of one host in a searcher's limit.

    Parameters
    ----------
    interval : float
        Mean time between two requests of the host, in seconds.
    burst : float
        Number of requests that the host may send at once after a pause, at least 1.
    is_sender : bool
        Whether the host is one of the few that use the searcher.
    """

    interval: float
    burst: float
    is_sender: bool


@dataclass(frozen=True, slots=True)
class HostGroup:
    """The hosts that share the searchers.

    Parameters
    ----------
    own_address : str
        Address of this host.
    addresses : frozenset of str
        Addresses of all known hosts, this one included.
    """

    own_address: str = ""
    addresses: frozenset[str] = field(default_factory=lambda: frozenset({""}))

    def rate_share(self, searcher: str, limit: float) -> RateShare:
        """Return the part of this host in the limit of a searcher.

        Hosts with the same view of the group compute parts that add up to the limit.
        Those of a few hosts with another view stay within half of the limit more.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        limit : float
            Requests per second that the searcher accepts from all hosts together.
        """
        hosts = max(len(self.addresses), MIN_ASSUMED_HOSTS)
        senders = min(hosts, 1 + math.floor(SENDERS_PER_RATE * limit)) if limit else 0
        subset = rendezvous_subset(searcher, self.addresses, senders)
        if self.own_address in subset:
            burst = (BURST_PER_RATE * limit + COMMON_BURST) / senders
            return RateShare(senders / limit, max(1.0, burst), True)
        return RateShare(PROBE_SPACING * max(1, hosts - senders), 1.0, False)

    def return_delay(self, searcher: str, slots: int) -> float:
        """Return the seconds that this host waits after the end of a pause.

        Few hosts return to a searcher at the same time.

        Parameters
        ----------
        searcher : str
            Identifier of the searcher.
        slots : int
            Number of requests that the searcher runs concurrently.
        """
        draw = rendezvous_draw(searcher, self.own_address)
        group = int(draw * len(self.addresses) / (slots + 1))
        return min(MAX_RETURN_SECONDS, group * RETURN_STEP_SECONDS)


class RequestPacer:
    """Token bucket that keeps the requests of this host within its `RateShare`.

    Parameters
    ----------
    share : RateShare
        Part of this host.
    now : float
        Current monotonic time in seconds.
    tokens : float
        Requests that may be sent now; a random part of one lets the hosts that learn of
        a limit at the same time send at different times.
    """

    def __init__(self, share: RateShare, now: float, tokens: float):
        self._share = share
        self._tokens = tokens
        self._updated_at = now

    @property
    def share(self) -> RateShare:
        """Return the part of this host."""
        return self._share

    def set_share(self, share: RateShare, now: float) -> None:
        """Replace the part of this host; what it has saved up stays, within the burst.

        Parameters
        ----------
        share : RateShare
            New part.
        now : float
            Current monotonic time in seconds.
        """
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, share.burst)

    def wait(self, now: float) -> float:
        """Return the seconds until a request may be sent; 0 if it may be sent now.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        self._refill(now)
        return max(0.0, 1.0 - self._tokens) * self._share.interval

    def take(self, now: float) -> None:
        """Count a request that is sent.

        Parameters
        ----------
        now : float
            Current monotonic time in seconds.
        """
        self._refill(now)
        self._tokens -= 1.0

    def _refill(self, now: float) -> None:
        gained = (now - self._updated_at) / self._share.interval
        self._tokens = min(self._share.burst, self._tokens + gained)
        self._updated_at = now

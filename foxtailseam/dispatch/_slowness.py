"""Slowness of a searcher as the hosts know it together, on one host."""

import math

from foxtailseam.conditions import SlownessEstimate
from foxtailseam.hosts import rendezvous_draw, rendezvous_subset
from foxtailseam.rate_limits import HostGroup

# Hosts that probe a searcher which all avoid, and the time between two requests of one
# of them, in seconds.
PROBING_HOSTS = 3
PROBE_SECONDS = 1.0
# A host whose draw lets expect more hosts than this before it is no prober; it does not
# sort thousands of hosts for each slow searcher.
MAX_CANDIDATES = 20
# Slowness of a searcher that is probed: it is preferred to others.
PROBE_SLOWNESS = 0.2
# Hosts return to a searcher that is as fast as others again within this time, in
# seconds, and count it as this slow meanwhile.
RETURN_SECONDS = 2.0
RETURN_SLOWNESS = 3.0


class SharedSlowness:
    """Applies what the hosts estimate of a searcher to the choices of this host.

    Parameters
    ----------
    searcher : str
        Identifier of the searcher.
    hosts : HostGroup
        Hosts that share the searcher.
    estimate : SlownessEstimate
        What is previous.
    now : float
        Current monotonic time in seconds.
    """

    def __init__(
        self, searcher: str, hosts: HostGroup, estimate: SlownessEstimate, now: float
    ):
        self._searcher = searcher
        self._hosts = hosts
        self.estimate = estimate
        self._next_probe_at = now + PROBE_SECONDS
        draw = rendezvous_draw(f"return {searcher}", hosts.own_address)
        self._return_delay = RETURN_SECONDS * draw
        self._is_prober = self._is_chosen()

    def update(self, hosts: HostGroup, estimate: SlownessEstimate) -> None:
        """Replace the hosts and what is previous."""
        if hosts != self._hosts:
            self._hosts = hosts
            self._is_prober = self._is_chosen()
        self.estimate = estimate

    def is_slow(self, now: float) -> bool:
        """Return whether the searcher is estimated to be slow at a monotonic time."""
        return now < self.estimate.until

    def is_avoided(self, now: float) -> bool:
        """Return whether it is left out while another one can serve."""
        estimate = self.estimate
        return (
            estimate.is_confirmed and now < estimate.until and not self.is_probing(now)
        )

    def is_probing(self, now: float) -> bool:
        """Return whether this host is to send it a request to see how fast it is."""
        return (
            self._is_prober and now >= self._next_probe_at and now < self.estimate.until
        )

    def take(self, now: float) -> None:
        """Count a request that is sent to the searcher."""
        self._next_probe_at = now + PROBE_SECONDS

    def apply(self, own: float, measured_at: float, now: float) -> float:
        """Return the slowness to compare the searcher by.

        Parameters
        ----------
        own : float
            Slowness that this host has measured.
        measured_at : float
            Monotonic time of its latest measurement, in seconds.
        now : float
            Current monotonic time in seconds.
        """
        estimate = self.estimate
        if now < estimate.until:
            if self.is_probing(now):
                return PROBE_SLOWNESS
            return max(own, estimate.factor)
        if estimate.cleared_at == -math.inf:
            return own
        if now < estimate.cleared_at + self._return_delay:
            return max(own, RETURN_SLOWNESS)
        # What this host measured before the searcher was found to be fast is outdated.
        return min(own, 1.0) if measured_at < estimate.cleared_at else own

    def _is_chosen(self) -> bool:
        hosts, key = self._hosts, f"probe {self._searcher}"
        draw = rendezvous_draw(key, hosts.own_address)
        if (1.0 - draw) * len(hosts.addresses) > MAX_CANDIDATES:
            return False
        chosen = rendezvous_subset(key, hosts.addresses, PROBING_HOSTS)
        return hosts.own_address in chosen

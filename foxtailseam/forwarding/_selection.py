"""Choice of the host that a request is forwarded to."""

import random
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.forwarding._messages import Unavailability

# How long a host gets no forwarded request after it could not serve one.
AVOIDANCE = {
    Unavailability.ISOLATED: timedelta(seconds=2),
    Unavailability.STOPPING: timedelta(seconds=10),
    Unavailability.OUTDATED: timedelta(milliseconds=500),
    Unavailability.UNSUPPORTED: timedelta(seconds=30),
    Unavailability.UNREACHABLE: timedelta(seconds=1),
    Unavailability.LOST: timedelta(seconds=1),
    Unavailability.BUSY: timedelta(milliseconds=300),
}
# Largest number of random hosts among which one is chosen.
MAX_CONSIDERED = 64


@dataclass(frozen=True, slots=True)
class PeerHost:
    """Another host.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for calls between hosts.
    failure_domain : str
        Its failure domain.
    """

    address: str
    failure_domain: str


class PeerSelector:
    """Chooses hosts for forwarded requests by what this host knows of them.

    Hosts of the own failure domain are asked first. A whole domain can be cut from the
    searchers together, so once one of its hosts is, hosts of others come first.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Spreads the requests over hosts.
    failure_domain : str
        Failure domain of this host.
    """

    def __init__(self, clock: Clock, generator: random.Random, failure_domain: str):
        self.clock = clock
        self.generator = generator
        self.failure_domain = failure_domain
        self._avoided_until: dict[str, float] = {}
        self._domain_avoided_until = float("-inf")
        self._in_flight: Counter[str] = Counter()

    def choose(
        self, hosts: Sequence[PeerHost], tried: Collection[str]
    ) -> PeerHost | None:
        """Return the host to ask, or None if none is known that may help.

        Of two random candidates, the one with fewer requests of this host is chosen.

        Parameters
        ----------
        hosts : sequence of PeerHost
            Alive hosts other than this one.
        tried : collection of str
            Addresses of hosts that were already asked for the same request.
        """
        now = self.clock.monotonic()
        if len(hosts) > MAX_CONSIDERED:
            hosts = self.generator.sample(hosts, MAX_CONSIDERED)
        candidates = [
            host
            for host in hosts
            if host.address not in tried and not self._is_avoided(host.address, now)
        ]
        if now >= self._domain_avoided_until:
            near = [
                host
                for host in candidates
                if host.failure_domain == self.failure_domain
            ]
            candidates = near or candidates
        if not candidates:
            return None
        pair = self.generator.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda host: self._in_flight[host.address])

    def begin(self, host: PeerHost) -> None:
        """Count a request that is sent to a host."""
        self._in_flight[host.address] += 1

    def end(self, host: PeerHost) -> None:
        """Count a request as answered or given up."""
        self._in_flight[host.address] -= 1
        if not self._in_flight[host.address]:
            del self._in_flight[host.address]

    def avoid(self, host: PeerHost, reason: Unavailability) -> None:
        """Send a host nothing for a while."""
        now = self.clock.monotonic()
        until = now + AVOIDANCE[reason].total_seconds()
        self._avoided_until = {
            address: end for address, end in self._avoided_until.items() if end > now
        }
        known = self._avoided_until.get(host.address, until)
        self._avoided_until[host.address] = max(known, until)
        is_near = host.failure_domain == self.failure_domain
        if is_near and reason is Unavailability.ISOLATED:
            self._domain_avoided_until = until

    def wait(self) -> float:
        """Return the seconds until a host may be asked that is avoided now; else 0."""
        now = self.clock.monotonic()
        waits = [until - now for until in self._avoided_until.values() if until > now]
        return min(waits, default=0.0)

    def _is_avoided(self, address: str, now: float) -> bool:
        return now < self._avoided_until.get(address, now)

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
# How long a host that served a request counts as one that reaches the searchers.
HELP_SECONDS = 5.0
# How long a host counts as one that does not fall silent after it has answered.
ANSWERED_SECONDS = 2.0
# With this many hosts that helped, no others are asked first.
MIN_HELPERS = 3
# After this many hosts in a row that could not be connected to, this host counts as cut
# from the other hosts for a while.
MAX_UNREACHABLE = 2
ALONE_SECONDS = 0.5
# Largest number of helpers named to another host.
MAX_NAMED_HELPERS = 3
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
    shard_call_rate : int
        Calls to shards that it can send in a second; 0 if unknown.
    """

    address: str
    failure_domain: str
    shard_call_rate: int = 0


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
        self._unreachable_in_row = 0
        self._alone_until = float("-inf")
        # When each host last served a request, here or of a host that said so.
        self._helped_at: dict[str, float] = {}
        # When each host last answered this one.
        self._answered_at: dict[str, float] = {}

    @property
    def helpers(self) -> tuple[str, ...]:
        """Return the addresses of hosts that have lately served requests."""
        oldest = self.clock.monotonic() - HELP_SECONDS
        known = [name for name, at in self._helped_at.items() if at >= oldest]
        return tuple(known[-MAX_NAMED_HELPERS:])

    def choose(
        self, hosts: Sequence[PeerHost], tried: Collection[str]
    ) -> PeerHost | None:
        """Return the host to ask, or None if none is known that may help.

        Hosts that have lately helped are preferred if there are several, or after
        another host could not help. Of two random candidates, the one with fewer
        requests of this host is chosen.

        Parameters
        ----------
        hosts : sequence of PeerHost
            Alive hosts other than this one.
        tried : collection of str
            Addresses of hosts that were already asked for the same request.
        """
        now = self.clock.monotonic()
        if now < self._alone_until:
            return None
        helpers = self._usable(
            [host for host in hosts if host.address in self._helped_at], tried, now
        )
        if len(helpers) >= MIN_HELPERS or (tried and helpers):
            return self._least_busy(helpers)
        if len(hosts) > MAX_CONSIDERED:
            hosts = self.generator.sample(hosts, MAX_CONSIDERED)
        candidates = self._usable(hosts, tried, now)
        if now >= self._domain_avoided_until:
            near = [
                host
                for host in candidates
                if host.failure_domain == self.failure_domain
            ]
            candidates = near or candidates
        return self._least_busy(candidates)

    def begin(self, host: PeerHost) -> None:
        """Count a request that is sent to a host."""
        self._in_flight[host.address] += 1

    def end(self, host: PeerHost) -> None:
        """Count a request as answered or given up."""
        self._in_flight[host.address] -= 1
        if not self._in_flight[host.address]:
            del self._in_flight[host.address]

    def has_answered_lately(self, host: PeerHost) -> bool:
        """Return whether the connection to a host worked a short time ago."""
        oldest = self.clock.monotonic() - ANSWERED_SECONDS
        return self._answered_at.get(host.address, float("-inf")) >= oldest

    def record_answer(self, host: PeerHost) -> None:
        """Record that a host has answered a request of this one."""
        now = self.clock.monotonic()
        self._answered_at[host.address] = now
        self._answered_at = _since(self._answered_at, now - ANSWERED_SECONDS)

    def record_help(self, addresses: Collection[str]) -> None:
        """Record that hosts have served a request, here or of another host.

        Parameters
        ----------
        addresses : collection of str
            ``IP:PORT`` addresses of the hosts.
        """
        now = self.clock.monotonic()
        self._unreachable_in_row = 0
        for address in addresses:
            self._helped_at.pop(address, None)
            self._helped_at[address] = now
        self._helped_at = _since(self._helped_at, now - HELP_SECONDS)

    def avoid(self, host: PeerHost, reason: Unavailability) -> None:
        """Send a host nothing for a while."""
        now = self.clock.monotonic()
        self._count_unreachable(reason, now)
        until = now + AVOIDANCE[reason].total_seconds()
        self._avoided_until = {
            address: end for address, end in self._avoided_until.items() if end > now
        }
        self._helped_at.pop(host.address, None)
        known = self._avoided_until.get(host.address, until)
        self._avoided_until[host.address] = max(known, until)
        is_near = host.failure_domain == self.failure_domain
        if is_near and reason is Unavailability.ISOLATED:
            self._domain_avoided_until = until

    def wait(self) -> float:
        """Return the seconds until a host may be asked that is avoided now; else 0."""
        now = self.clock.monotonic()
        ends = (self._alone_until, *self._avoided_until.values())
        waits = [until - now for until in ends if until > now]
        return min(waits, default=0.0)

    def _count_unreachable(self, reason: Unavailability, now: float) -> None:
        if reason is not Unavailability.UNREACHABLE:
            self._unreachable_in_row = 0
            return
        self._unreachable_in_row += 1
        if self._unreachable_in_row >= MAX_UNREACHABLE:
            self._alone_until = now + ALONE_SECONDS

    def _usable(
        self, hosts: Sequence[PeerHost], tried: Collection[str], now: float
    ) -> list[PeerHost]:
        return [
            host
            for host in hosts
            if host.address not in tried
            and now >= self._avoided_until.get(host.address, now)
        ]

    def _least_busy(self, candidates: Sequence[PeerHost]) -> PeerHost | None:
        if not candidates:
            return None
        pair = self.generator.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda host: self._in_flight[host.address])


def _since(times: dict[str, float], oldest: float) -> dict[str, float]:
    return {name: at for name, at in times.items() if at >= oldest}

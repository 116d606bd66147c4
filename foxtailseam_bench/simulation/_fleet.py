"""Gossip among simulated hosts in virtual time, with lost hosts and cut links."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from foxtailseam.clocks import HybridClock
from foxtailseam.conditions import ConditionRegistry
from foxtailseam.fleet import (
    FleetSettings,
    Gossip,
    HostRecord,
    MemberExchange,
    Membership,
)
from foxtailseam.fleet._burst_pacer import BurstPacer
from foxtailseam.fleet._gossip_loop import GOSSIP_FANOUT, LONELY_FACTOR, URGENT_SHARE
from foxtailseam.quarantine import QuarantineController
from foxtailseam_bench.simulation._time import Timer, VirtualTime

SETTINGS = FleetSettings()
EXCHANGE_SECONDS = SETTINGS.exchange_interval.total_seconds()
SEED_SECONDS = SETTINGS.seed_interval.total_seconds()
# Time after which a call to a host that does not answer has failed.
CALL_TIMEOUT_SECONDS = SETTINGS.timeout.total_seconds()
SEED_COUNT = 3


@dataclass(eq=False)
class SimulatedHost:
    """A host that takes part in gossip.

    Parameters
    ----------
    address : str
        Address of the host.
    failure_domain : str
        Failure domain of the host.
    gossip : Gossip
        Gossip of the current process.
    is_running : bool
        Whether the host answers and sends messages; false while it is down or frozen.
    sent_bytes, sent_across : int
        Bytes of messages that it has sent, in all and to other failure domains.
    timer : Timer or None
        The next exchange.
    burst_pacer : BurstPacer
        Paces exchanges with several hosts at once.
    """

    address: str
    failure_domain: str
    gossip: Gossip
    burst_pacer: BurstPacer
    is_running: bool = True
    sent_bytes: int = 0
    sent_across: int = 0
    timer: Timer | None = None

    @property
    def known(self) -> frozenset[str]:
        """Return the addresses of the hosts that it considers alive."""
        return self.gossip.membership.addresses


@dataclass(eq=False)
class SimulatedFleet:
    """Hosts that exchange gossip.

    Parameters
    ----------
    size : int
        Number of hosts.
    domains : int
        Number of failure domains, over which the hosts are spread evenly.
    seed : int
        Seed of all random choices.
    time : VirtualTime
        Clock and timers.
    registries : tuple of ConditionRegistry
        Conditions that the first process of each host knows; empty for new ones.
    """

    size: int
    domains: int = 6
    seed: int = 1
    time: VirtualTime = field(default_factory=VirtualTime)
    registries: tuple[ConditionRegistry, ...] = ()

    def __post_init__(self):
        self.generator = random.Random(self.seed)
        # Returns whether a message from one host reaches another.
        self.is_connected: Callable[[SimulatedHost, SimulatedHost], bool] = (
            lambda sender, receiver: True
        )
        self.hosts: dict[str, SimulatedHost] = {}
        for number in range(self.size):
            address = f"10.{number // 250}.{number % 250}.1:80"
            domain = f"d{number % self.domains}"
            registry = self.registries[number] if self.registries else None
            gossip = self._new_gossip(address, domain, 1, registry)
            self.hosts[address] = SimulatedHost(
                address, domain, gossip, BurstPacer(self.time)
            )
        self.seeds = tuple(self.hosts)[:SEED_COUNT]
        for host in self.hosts.values():
            first = self.generator.uniform(0.0, 0.3)
            self.time.call_later(first, self._ask_seeds, host)
            self.time.call_later(first + EXCHANGE_SECONDS, self._exchange, host)

    @property
    def running(self) -> list[SimulatedHost]:
        """Return the hosts that are running."""
        return [host for host in self.hosts.values() if host.is_running]

    def views_lacking(self, expected: Iterable[str]) -> int:
        """Return how many running hosts do not know exactly the expected hosts."""
        expected = frozenset(expected)
        return sum(host.known != expected for host in self.running)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        self.time.run_until(self.time.monotonic() + seconds)

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Advance until a condition holds; return the seconds that this took.

        Raises
        ------
        AssertionError
            If it does not hold within `limit` seconds.
        """
        started_at = self.time.monotonic()
        while not condition():
            elapsed = self.time.monotonic() - started_at
            if elapsed >= limit:
                raise AssertionError(f"condition not met in {limit} s")
            self.run(0.25)
        return self.time.monotonic() - started_at

    def restart(self, host: SimulatedHost) -> None:
        """Start a new process of a host, which knows only the seeds."""
        started_ms = 1 + int(self.time.monotonic() * 1000)
        host.gossip = self._new_gossip(host.address, host.failure_domain, started_ms)
        host.is_running = True
        self._ask_seeds(host, repeats=False)

    def exchange_soon(self, host: SimulatedHost) -> None:
        """Plan exchanges of a host with a few others at once."""
        delay = host.burst_pacer.plan()
        if delay is not None:
            self.time.call_later(delay, self._burst, host)

    def _burst(self, host: SimulatedHost) -> None:
        host.burst_pacer.start()
        others = sorted(host.known - {host.address})
        chosen = self.generator.sample(others, min(GOSSIP_FANOUT, len(others)))
        if host.is_running:
            for address in chosen:
                self._call(host, self.hosts[address])

    def _new_gossip(
        self,
        address: str,
        domain: str,
        started_ms: int,
        registry: ConditionRegistry | None = None,
    ) -> Gossip:
        time = self.time
        generator = random.Random(f"{address} {started_ms} {self.seed}")
        record = HostRecord(address, domain, started_ms)
        membership = Membership(record, time, generator)
        membership.on_urgent_news = lambda: self._schedule(self.hosts[address])
        if registry is None:
            registry = ConditionRegistry(time, generator)
        registry.on_slowness_change = lambda: self.exchange_soon(self.hosts[address])
        return Gossip(
            membership,
            QuarantineController(time, HybridClock(time)),
            registry,
            lambda: None,
            lambda: self.exchange_soon(self.hosts[address]),
        )

    def _exchange(self, host: SimulatedHost) -> None:
        if host.is_running:
            host.gossip.membership.remove_expired()
            peer = host.gossip.membership.random_peer()
            if peer is not None:
                self._call(host, self.hosts[peer])
        self._schedule(host)

    def _schedule(self, host: SimulatedHost) -> None:
        """Plan the next exchange of a host, soon if it has urgent news."""
        is_urgent = host.gossip.membership.has_urgent_news
        pause = EXCHANGE_SECONDS * (URGENT_SHARE if is_urgent else 1.0)
        pause *= self.generator.uniform(0.7, 1.3)
        if host.timer is not None:
            host.timer.cancel()
        host.timer = self.time.call_later(pause, self._exchange, host)

    def _ask_seeds(self, host: SimulatedHost, repeats: bool = True) -> None:
        if repeats:
            factor = 1 if len(host.known) > 1 else LONELY_FACTOR
            pause = SEED_SECONDS / factor * self.generator.uniform(0.7, 1.3)
            self.time.call_later(pause, self._ask_seeds, host)
        if host.is_running:
            for seed in self.seeds:
                if seed not in host.known:
                    self._call(host, self.hosts[seed])

    def _call(self, host: SimulatedHost, peer: SimulatedHost) -> None:
        gossip = host.gossip
        request = gossip.request()
        self._count(host, peer, request)
        reaches = self.is_connected(host, peer) and self.is_connected(peer, host)
        if not peer.is_running or not reaches:
            self.time.call_later(CALL_TIMEOUT_SECONDS, gossip.fail, peer.address)
            return
        response = peer.gossip.respond(request)
        self._count(peer, host, response)
        gossip.finish(response)

    def _count(
        self, sender: SimulatedHost, receiver: SimulatedHost, message: MemberExchange
    ) -> None:
        size = len(msgspec.msgpack.encode(message))
        sender.sent_bytes += size
        if sender.failure_domain != receiver.failure_domain:
            sender.sent_across += size

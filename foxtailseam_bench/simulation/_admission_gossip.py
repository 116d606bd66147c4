"""Exchange of admitted shares between simulated hosts, in virtual time."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

import msgspec

from foxtailseam.admission import FleetAdmission
from foxtailseam.fleet import FleetSettings, HostRecord
from foxtailseam_bench.simulation._time import VirtualTime

EXCHANGE_SECONDS = FleetSettings().exchange_interval.total_seconds()
DOMAINS = 3


class SimulatedGossip:
    """Exchanges with a random host at each gossip interval.

    Parameters
    ----------
    time : VirtualTime
        Clock and timers.
    generator : random.Random
        Chooses hosts and intervals.

    Attributes
    ----------
    is_connected : callable
        Returns whether two hosts, given by number, can exchange messages.
    of_previous_release : set of int
        Hosts that send no notices and ignore those of others.
    hears_of_failures : bool
        Whether the membership leaves out hosts that are not connected.
    sent_bytes : int
        Bytes of all notices sent.
    """

    def __init__(self, time: VirtualTime, generator: random.Random):
        self.time = time
        self.generator = generator
        self.is_connected: Callable[[int, int], bool] = lambda one, other: True
        self.of_previous_release: set[int] = set()
        self.hears_of_failures = True
        self.sent_bytes = 0
        self._hosts: list[FleetAdmission] = []
        self._records: list[HostRecord] = []

    def join(self, hosts: Sequence[FleetAdmission]) -> None:
        """Let hosts exchange notices; every third one is in the same failure domain."""
        self._hosts = list(hosts)
        for number, host in enumerate(hosts):
            host.failure_domain = f"d{number % DOMAINS + 1}"
            host.domain_sizes = partial(self._domain_sizes, number)
            self._records.append(HostRecord(f"host-{number}", host.failure_domain, 1))
            self._plan(number)

    def replace(self, number: int, host: FleetAdmission) -> None:
        """Let the new process of a host take part."""
        host.failure_domain = f"d{number % DOMAINS + 1}"
        host.domain_sizes = partial(self._domain_sizes, number)
        self._hosts[number] = host

    def _domain_sizes(self, number: int) -> Counter[str]:
        return Counter(
            f"d{other % DOMAINS + 1}"
            for other in range(len(self._hosts))
            if not self.hears_of_failures or self.is_connected(number, other)
        )

    def _plan(self, number: int) -> None:
        pause = EXCHANGE_SECONDS * self.generator.uniform(0.7, 1.3)
        self.time.call_later(pause, self._exchange, number)

    def _exchange(self, number: int) -> None:
        self._plan(number)
        other = self.generator.randrange(len(self._hosts))
        if other != number and self.is_connected(number, other):
            self._send(number, other)
            self._send(other, number)

    def _send(self, sender: int, receiver: int) -> None:
        if sender in self.of_previous_release:
            return
        notices = self._hosts[sender].notices()
        if not notices:
            return
        self.sent_bytes += len(msgspec.msgpack.encode(notices))
        if receiver not in self.of_previous_release:
            self._hosts[receiver].merge(self._records[sender], notices)

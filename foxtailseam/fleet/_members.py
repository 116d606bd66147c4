"""Which hosts there are, learnt from each other."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from foxtailseam.clocks import Clock

# A host whose count stands still for so long is taken as gone, in seconds.
GONE_AFTER = 10.0
# A host that was gone is not taken back from hearsay for so long, in seconds.
FORGOTTEN_AFTER = 30.0
# Hosts named in one message, beside the sender.
MOST_NAMED = 100


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host as it tells of itself, and as others pass it on.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for other hosts.
    failure_domain : str
        Failure domain of the host.
    started_ms : int
        Unix time of its start in milliseconds; a restarted process is newer.
    count : int
        Rises while the process runs.
    is_leaving : bool
        Whether it is about to stop.
    """

    address: str
    failure_domain: str
    started_ms: int
    count: int = 0
    is_leaving: bool = False

    @property
    def age_key(self) -> tuple[int, int]:
        """Return what tells a newer record from an older one."""
        return self.started_ms, self.count


@dataclass(slots=True)
class _Known:
    record: HostRecord
    advanced_at: float


class Membership:
    """Merges records; the newest of each host counts.

    Parameters
    ----------
    own : HostRecord
        This host.
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Picks hosts to talk to and to name.
    """

    def __init__(self, own: HostRecord, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        self._own = own
        self._others: dict[str, _Known] = {}

    @property
    def own(self) -> HostRecord:
        """Return the record of this host."""
        return self._own

    @property
    def alive(self) -> tuple[HostRecord, ...]:
        """Return the hosts that live and stay, this one included."""
        now = self.clock.monotonic()
        others = (
            known.record
            for known in self._others.values()
            if now - known.advanced_at < GONE_AFTER and not known.record.is_leaving
        )
        return (self._own, *others)

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses of the hosts that live and stay."""
        return frozenset(record.address for record in self.alive)

    def advance(self) -> None:
        """Count on: this host still runs."""
        self._own = replace(self._own, count=self._own.count + 1)

    def leave(self) -> None:
        """Tell others that this host stops."""
        self._own = replace(self._own, count=self._own.count + 1, is_leaving=True)

    def merge(self, records: Iterable[HostRecord]) -> bool:
        """Take what another host names; return whether the living changed."""
        before = self.addresses
        for record in records:
            self._merge(record)
        return before != self.addresses

    def suspect(self, address: str) -> None:
        """Take a host as gone until it counts on: a call to it failed."""
        known = self._others.get(address)
        if known is not None:
            known.advanced_at = min(
                known.advanced_at, self.clock.monotonic() - GONE_AFTER
            )

    def named(self) -> tuple[HostRecord, ...]:
        """Return the records for a message: this host and some living ones."""
        others = [record for record in self.alive if record is not self._own]
        if len(others) > MOST_NAMED:
            others = self.generator.sample(others, MOST_NAMED)
        return (self._own, *others)

    def pick(self) -> str | None:
        """Return the address of a random living host other than this one."""
        others = [record for record in self.alive if record is not self._own]
        return self.generator.choice(others).address if others else None

    def forget(self) -> None:
        """Drop the hosts that have been gone for long."""
        now = self.clock.monotonic()
        self._others = {
            address: known
            for address, known in self._others.items()
            if now - known.advanced_at < FORGOTTEN_AFTER
        }

    def _merge(self, record: HostRecord) -> None:
        if record.address == self._own.address:
            return
        known = self._others.get(record.address)
        now = self.clock.monotonic()
        if known is None:
            self._others[record.address] = _Known(record, now)
        elif record.age_key > known.record.age_key:
            known.record = record
            known.advanced_at = now

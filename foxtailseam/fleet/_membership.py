"""Gossip-based membership: which hosts exist, learned from other hosts."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from foxtailseam.clocks import Clock

# Seconds without a newer heartbeat after which a host counts as failed.
FAILURE_TIMEOUT_SECONDS = 10.0
# Seconds without a newer heartbeat after which the record of a host is deleted. Until
# then, outdated records from other hosts cannot make a failed host alive again.
RECORD_RETENTION_SECONDS = 30.0
# Maximum number of records in one message, not counting the sender's own.
MAX_GOSSIP_RECORDS = 100


@dataclass(frozen=True, slots=True)
class HostRecord:
    """What a host publishes about itself, relayed unchanged by other hosts.

    Parameters
    ----------
    address : str
        ``IP:PORT`` on which the host serves other hosts.
    failure_domain : str
        Failure domain of the host.
    started_ms : int
        Unix time at which the process started, in milliseconds. After a restart
        this is greater, so that the new process supersedes the old one.
    count : int
        Heartbeat counter, incremented regularly while the process runs.
    is_leaving : bool
        Whether the host is shutting down.
    """

    address: str
    failure_domain: str
    started_ms: int
    count: int = 0
    is_leaving: bool = False

    @property
    def version_key(self) -> tuple[int, int]:
        """Return the sort key of records of one host; the newest is the greatest."""
        return self.started_ms, self.count


@dataclass(slots=True)
class _MemberState:
    record: HostRecord
    last_heartbeat_at: float


class Membership:
    """The hosts known to this host; keeps the newest record of each.

    Parameters
    ----------
    own_record : HostRecord
        Initial record of this host.
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Selects random peers, and the records of a message if there are too many.
    """

    def __init__(self, own_record: HostRecord, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        self._own_record = own_record
        self._others: dict[str, _MemberState] = {}

    @property
    def own_record(self) -> HostRecord:
        """Return the current record of this host."""
        return self._own_record

    @property
    def alive(self) -> tuple[HostRecord, ...]:
        """Return the records of this host, first, and of the alive other hosts.

        Hosts that are leaving are not included.
        """
        now = self.clock.monotonic()
        others = (
            member.record
            for member in self._others.values()
            if now - member.last_heartbeat_at < FAILURE_TIMEOUT_SECONDS
            and not member.record.is_leaving
        )
        return (self._own_record, *others)

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses of the hosts in `alive`."""
        return frozenset(record.address for record in self.alive)

    def increment_heartbeat(self) -> None:
        """Increment the heartbeat counter of this host."""
        self._own_record = replace(self._own_record, count=self._own_record.count + 1)

    def mark_leaving(self) -> None:
        """Mark this host as shutting down in its own record."""
        self._own_record = replace(
            self._own_record, count=self._own_record.count + 1, is_leaving=True
        )

    def merge(self, records: Iterable[HostRecord]) -> bool:
        """Merge records from another host; return whether `addresses` changed."""
        before = self.addresses
        for record in records:
            self._merge_record(record)
        return before != self.addresses

    def mark_failed(self, address: str) -> None:
        """Treat a host as failed until a newer record of it arrives.

        Called after a call to the host failed. Unknown addresses are ignored.
        """
        member = self._others.get(address)
        if member is not None:
            member.last_heartbeat_at = min(
                member.last_heartbeat_at,
                self.clock.monotonic() - FAILURE_TIMEOUT_SECONDS,
            )

    def gossip_records(self) -> tuple[HostRecord, ...]:
        """Return the records to send to a peer: this host's, then alive hosts'.

        At most `MAX_GOSSIP_RECORDS` other hosts are included, chosen at random.
        """
        others = [record for record in self.alive if record is not self._own_record]
        if len(others) > MAX_GOSSIP_RECORDS:
            others = self.generator.sample(others, MAX_GOSSIP_RECORDS)
        return (self._own_record, *others)

    def random_peer(self) -> str | None:
        """Return the address of a random alive host other than this one, if any."""
        others = [record for record in self.alive if record is not self._own_record]
        return self.generator.choice(others).address if others else None

    def remove_expired(self) -> None:
        """Delete hosts without a heartbeat for `RECORD_RETENTION_SECONDS`."""
        now = self.clock.monotonic()
        self._others = {
            address: member
            for address, member in self._others.items()
            if now - member.last_heartbeat_at < RECORD_RETENTION_SECONDS
        }

    def _merge_record(self, record: HostRecord) -> None:
        if record.address == self._own_record.address:
            return
        member = self._others.get(record.address)
        now = self.clock.monotonic()
        if member is None:
            self._others[record.address] = _MemberState(record, now)
        elif record.version_key > member.record.version_key:
            member.record = record
            member.last_heartbeat_at = now

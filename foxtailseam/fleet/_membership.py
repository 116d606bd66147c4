"""Membership of hosts: who exists and who is suspected to have failed.

News of the membership is relayed only while it is new; that a host lives is not
repeated. A host that cannot be reached is suspected. Once it hears of the suspicion it
refutes it by a higher incarnation; if it does not in time, it counts as failed.

References
----------
A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent infection-style process
group membership protocol", DSN 2002.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from foxtailseam.clocks import Clock
from foxtailseam.fleet._host_record import HostRecord, MemberNews
from foxtailseam.fleet._member import SUSPICION_SECONDS, Member
from foxtailseam.utils import MAX_INTEGER

# Time for which a host that failed or left is remembered. Until then, outdated records
# from other hosts cannot bring it back.
RECORD_RETENTION_SECONDS = 30.0
# Each host sends news this many times the decimal logarithm of the number of hosts.
NEWS_FACTOR = 4
# News of a host that is suspected, refutes a suspicion or leaves is urgent until it was
# sent this many times.
URGENT_SENDS = 3
# A host that hears late of a suspicion leaves the suspected one this much time.
MIN_SUSPICION_SECONDS = 1.5
# Maximum number of news items in one message.
MAX_NEWS = 16
# Maximum number of records for a host of an earlier release, besides the sender's own.
MAX_LEGACY_RECORDS = 100
# Share of exchanges with hosts of the own failure domain.
OWN_DOMAIN_SHARE = 0.5
_DIGEST_MASK = (1 << 62) - 1


class Membership:
    """The hosts known to this host; keeps the newest record of each.

    Parameters
    ----------
    own_record : HostRecord
        Initial record of this host.
    clock : Clock
        Source of monotonic time.
    generator : random.Random
        Selects peers.
    """

    def __init__(self, own_record: HostRecord, clock: Clock, generator: random.Random):
        self.clock = clock
        self.generator = generator
        self._own_record = replace(own_record, incarnation=1)
        self._own_digest = own_record.digest
        self._started_at = clock.monotonic()
        self._others: dict[str, Member] = {}
        # Number of times that the news of a host was sent, by its address.
        self._news: dict[str, int] = {}
        # Called when there is urgent news.
        self.on_urgent_news: Callable[[], None] = lambda: None
        # Failure domain of a host that could not be reached: others there may be down.
        self._suspected_domain: str | None = None

    @property
    def own_record(self) -> HostRecord:
        """Return the current record of this host."""
        elapsed = self.clock.monotonic() - self._started_at
        return replace(self._own_record, count=int(elapsed))

    @property
    def alive(self) -> tuple[HostRecord, ...]:
        """Return the records of this host, first, and of the alive other hosts.

        Hosts that are leaving, that count as failed or that this host could not reach
        are not included.
        """
        now = self.clock.monotonic()
        others = [
            member.record for member in self._others.values() if member.is_alive(now)
        ]
        return (self.own_record, *others)

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses of the hosts in `alive`."""
        now = self.clock.monotonic()
        others = [
            address for address, member in self._others.items() if member.is_alive(now)
        ]
        return frozenset((self._own_record.address, *others))

    @property
    def digest(self) -> int:
        """Return a positive number that is equal on hosts with the same members."""
        now = self.clock.monotonic()
        total = self._own_digest + sum(
            [
                member.digest
                for member in self._others.values()
                if not member.record.is_leaving and not member.is_failed(now)
            ]
        )
        return 1 + (total & _DIGEST_MASK)

    def mark_leaving(self) -> None:
        """Mark this host as shutting down in its own record."""
        self._own_record = replace(
            self._own_record,
            is_leaving=True,
            incarnation=self._own_record.incarnation + 1,
        )
        self._add_news(self._own_record.address)

    def merge(self, records: Iterable[HostRecord]) -> bool:
        """Merge records of hosts; return whether `addresses` changed.

        A newer record ends a suspicion. Nothing is relayed.

        Parameters
        ----------
        records : iterable of HostRecord
            Records from another host.
        """
        before = self.addresses
        for record in records:
            self._merge_record(record)
        return before != self.addresses

    def merge_news(self, news: Iterable[MemberNews]) -> None:
        """Merge news and relay what was new.

        Parameters
        ----------
        news : iterable of MemberNews
            News from another host.
        """
        for item in news:
            if item.record.address == self._own_record.address:
                self._merge_own_news(item)
                continue
            if self._merge_record(item.record):
                self._add_news(item.record.address)
            if item.is_suspected:
                self._suspect(item.record, max(0, item.suspected_ms) / 1000)

    def mark_reached(self, record: HostRecord) -> None:
        """Merge the record that a host sent itself.

        Parameters
        ----------
        record : HostRecord
            Record of a host with which this host has just exchanged messages.
        """
        is_news = self._merge_record(record)
        member = self._others.get(record.address)
        if member is not None:
            member.is_unreachable = False
            # A host that lives has to hear of a suspicion, or of a run of it that
            # seems to be later, to refute it.
            is_superseded = record.started_ms < member.record.started_ms
            is_news = is_news or is_superseded or member.suspected_at is not None
        if is_news:
            self._add_news(record.address)
        if record.failure_domain == self._suspected_domain:
            self._suspected_domain = None

    def mark_failed(self, address: str) -> None:
        """Suspect a host that this host could not reach.

        It is not alive for this host until it is reached, or refutes the suspicion.
        Unknown addresses are ignored.
        """
        member = self._others.get(address)
        if member is None or member.record.is_leaving:
            return
        member.is_unreachable = True
        self._suspected_domain = member.record.failure_domain
        self._suspect(member.record)

    @property
    def has_urgent_news(self) -> bool:
        """Return whether there is urgent news."""
        return any(
            sent < URGENT_SENDS and self._has_urgent_news_of(address)
            for address, sent in self._news.items()
        )

    def news(self, peer_digest: int = 0) -> tuple[MemberNews, ...]:
        """Return news for another host, the least often sent first, and count it.

        Parameters
        ----------
        peer_digest : int
            Digest of the other host, if known. If it equals that of this host, only
            urgent news is returned, since the other one knows the rest.
        """
        limit = NEWS_FACTOR * math.ceil(math.log10(len(self._others) + 2))
        chosen = sorted(self._news, key=self._news.__getitem__)[:MAX_NEWS]
        is_same = bool(peer_digest) and peer_digest == self.digest
        items = [
            item
            for address in chosen
            if (item := self._news_of(address)) is not None
            and (_is_urgent(item) or not is_same)
        ]
        for address in chosen:
            self._news[address] += 1
            if self._news[address] >= limit:
                del self._news[address]
        return tuple(items)

    def legacy_records(self) -> tuple[HostRecord, ...]:
        """Return the records for a host that goes by heartbeat counters.

        Hosts that have no counter of their own get one that rises with time.
        """
        now_ms = int(self.clock.now().timestamp() * 1000)
        others = [
            replace(record, count=(now_ms - record.started_ms) // 1000)
            if record.incarnation
            else record
            for record in self.alive[1:]
        ]
        if len(others) > MAX_LEGACY_RECORDS:
            others = self.generator.sample(others, MAX_LEGACY_RECORDS)
        return (self.own_record, *others)

    def random_peer(self) -> str | None:
        """Return the address of an alive host to exchange messages with, if any.

        After a failure it is one of the same failure domain, to learn soon whether the
        whole domain is lost.
        """
        others = self.alive[1:]
        domain = self._suspected_domain
        self._suspected_domain = None
        if domain is None and self.generator.random() < OWN_DOMAIN_SHARE:
            domain = self._own_record.failure_domain
        near = [record for record in others if record.failure_domain == domain]
        candidates = near or others
        return self.generator.choice(candidates).address if candidates else None

    def remove_expired(self) -> None:
        """Delete hosts that ended more than `RECORD_RETENTION_SECONDS` ago."""
        now = self.clock.monotonic()
        for address, member in list(self._others.items()):
            ended_at = member.ended_at(now)
            if ended_at is not None and now - ended_at >= RECORD_RETENTION_SECONDS:
                del self._others[address]
                self._news.pop(address, None)

    def _merge_record(self, record: HostRecord) -> bool:
        """Keep a record if it is the newest; return whether its run is new."""
        if record.address == self._own_record.address:
            return False
        now = self.clock.monotonic()
        member = self._others.get(record.address)
        if member is None:
            self._others[record.address] = Member(record, record.digest, now)
            return not record.is_leaving
        if record.version_key <= member.record.version_key:
            is_same_run = record.run_key == member.record.run_key
            if is_same_run and member.is_failed(now) and not record.is_leaving:
                # Others consider it alive, so it has to hear that it was suspected.
                self._news.setdefault(record.address, 0)
                self.on_urgent_news()
            return False
        is_new_run = record.run_key > member.record.run_key
        has_heartbeats = not record.incarnation
        member.record = record
        if is_new_run:
            member.digest = record.digest
            member.changed_at = now
            member.suspected_at = None
            member.is_unreachable = False
        return is_new_run and not has_heartbeats

    def _merge_own_news(self, item: MemberNews) -> None:
        own = self._own_record
        heard = item.record
        if heard.started_ms > own.started_ms:
            self._supersede(heard.started_ms)
        elif item.is_suspected and heard.started_ms == own.started_ms:
            self._refute(heard.incarnation)

    def _supersede(self, started_ms: int) -> None:
        """Name a later start than that of a previous process.

        The time of day was ahead when that one started.
        """
        # Bounded, so that other hosts accept it.
        started_ms = min(started_ms + 1, MAX_INTEGER)
        self._own_record = replace(self._own_record, started_ms=started_ms)
        self._own_digest = self._own_record.digest
        self._add_news(self._own_record.address)

    def _refute(self, heard_incarnation: int) -> None:
        """Refute a suspicion of an incarnation, unless this host is leaving."""
        own = self._own_record
        # Bounded, so that other hosts accept it and a later one.
        heard = min(heard_incarnation, MAX_INTEGER - 2)
        incarnation = max(own.incarnation, heard + 1)
        if incarnation > own.incarnation and not own.is_leaving:
            self._own_record = replace(own, incarnation=incarnation)
            self._add_news(own.address)

    def _suspect(self, record: HostRecord, age: float = 0.0) -> None:
        member = self._others.get(record.address)
        if member is None or member.suspected_at is not None:
            return
        if record.run_key >= member.record.run_key:
            age = min(age, SUSPICION_SECONDS - MIN_SUSPICION_SECONDS)
            member.suspected_at = self.clock.monotonic() - age
            self._add_news(record.address)

    def _add_news(self, address: str) -> None:
        self._news[address] = 0
        if self._has_urgent_news_of(address):
            self.on_urgent_news()

    def _has_urgent_news_of(self, address: str) -> bool:
        item = self._news_of(address)
        return item is not None and _is_urgent(item)

    def _news_of(self, address: str) -> MemberNews | None:
        if address == self._own_record.address:
            return MemberNews(self.own_record)
        member = self._others.get(address)
        if member is None:
            return None
        if member.suspected_at is None:
            return MemberNews(member.record)
        now = self.clock.monotonic()
        # One that has failed for this host may be alive for others, and may refute it.
        elapsed = 0.0 if member.is_failed(now) else now - member.suspected_at
        return MemberNews(member.record, True, int(elapsed * 1000))


def _is_urgent(item: MemberNews) -> bool:
    return item.is_suspected or item.record.is_leaving or item.record.incarnation > 1

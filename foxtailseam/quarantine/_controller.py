"""Suspicion states of requests by fingerprint, synchronized with the peers."""

import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from foxtailseam.clocks import Clock, HybridClock, HybridTimestamp
from foxtailseam.quarantine._transitions import (
    TRANSITIONS,
    SuspicionEvent,
    SuspicionState,
)
from foxtailseam.utils import Integer, SignedWholeMilliseconds

# Losses within this time after the first one count as the same loss.
LOSS_MERGE_WINDOW = timedelta(seconds=1)
# Number of losses while running alone that quarantine a request.
MAX_LOSSES_ALONE = 2
# Time after which a suspicion expires.
SUSPICION_TTL = timedelta(minutes=10)
# Longest time for which the notice of a peer is believed.
MAX_TTL = timedelta(hours=1)
# Time for which a clearance is remembered and sent to peers.
CLEARED_TTL = timedelta(seconds=30)
# Maximum number of records kept; the oldest one is dropped to make room.
MAX_RECORDS = 10_000
# Maximum number of notices in one exchange with a peer.
MAX_NOTICES = 64
# Number of messages that contain a notice after its record has changed.
MAX_SENDS = 5
# Number of other quarantined requests in a message, so that a process that missed all
# of those messages hears of them, too.
MAX_REPEATED = 4


def fingerprint_of(family: str, content: str) -> str:
    """Return the fingerprint of a request, which is the same in every process.

    Parameters
    ----------
    family : str
        Group of the request, such as its service family.
    content : str
        Content that distinguishes the request within its group.
    """
    text = f"{family}\0{content}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class SuspicionNotice:
    """Suspicion state of a request, as sent from one process to another.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    state : SuspicionState
        State of the request; `SuspicionState.CLEAR` revokes an earlier suspicion.
    remaining_ms : int
        Time until the state expires, in milliseconds.
    lost_alone : int
        Number of losses while the request ran alone as a suspect.
    stamp : HybridTimestamp
        Time of the last change of the record. Later notices supersede earlier ones,
        but none lifts a quarantine.
    """

    fingerprint: str
    state: SuspicionState
    remaining_ms: SignedWholeMilliseconds
    lost_alone: Integer
    stamp: HybridTimestamp


@dataclass(frozen=True, slots=True)
class _Record:
    state: SuspicionState
    stamp: HybridTimestamp
    state_since: float
    expires_at: float
    lost_alone: int = 0


class QuarantineController:
    """Decides which requests run alone first and which are refused.

    Searchers lost within `LOSS_MERGE_WINDOW` count as one loss, so that requests in
    flight when a whole rack fails become suspects at most. A suspect first runs on
    one shard alone. If it survives, it is cleared. A later loss quarantines it, and so
    do two losses while it runs alone, regardless of the time between them.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    hybrid_clock : HybridClock
        Source of the timestamps that order the records of several processes.
    """

    def __init__(self, clock: Clock, hybrid_clock: HybridClock):
        self.clock = clock
        self.hybrid_clock = hybrid_clock
        self._records: dict[str, _Record] = {}
        # Number of messages that still are to contain the notice of a changed record.
        self._sends_left: dict[str, int] = {}
        # Quarantined requests that are still to be repeated in this turn.
        self._to_repeat: list[str] = []

    def state(self, fingerprint: str) -> SuspicionState:
        """Return the suspicion state of a request, after applying any expiry."""
        record = self._records.get(fingerprint)
        if record is None:
            return SuspicionState.CLEAR
        if self.clock.monotonic() < record.expires_at:
            return record.state
        if record.state is SuspicionState.CLEAR:
            del self._records[fingerprint]
            self._sends_left.pop(fingerprint, None)
            return SuspicionState.CLEAR
        self._apply(fingerprint, SuspicionEvent.EXPIRED, SUSPICION_TTL)
        return self._records[fingerprint].state

    def remaining(self, fingerprint: str) -> timedelta:
        """Return the time until the current state of a request expires."""
        record = self._records.get(fingerprint)
        if record is None:
            return timedelta()
        seconds = record.expires_at - self.clock.monotonic()
        return timedelta(seconds=max(0.0, seconds))

    def record_loss(self, fingerprint: str, quarantine: timedelta, alone: bool) -> bool:
        """Record that searchers were lost while they ran a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        quarantine : timedelta
            Duration of the quarantine after a second loss.
        alone : bool
            Whether the request ran as a suspect on one shard alone.

        Returns
        -------
        bool
            Whether the peers should be notified.
        """
        before = self.state(fingerprint)
        is_suspect = before is SuspicionState.SUSPECT
        if is_suspect and self._merge_loss(fingerprint, alone):
            return alone
        ttl = quarantine if is_suspect else SUSPICION_TTL
        return self._apply(fingerprint, SuspicionEvent.LOSS, ttl)

    def record_survival(self, fingerprint: str) -> bool:
        """Record that a request ran without a loss, which clears a suspect.

        Returns
        -------
        bool
            Whether the peers should be notified.
        """
        return self._apply(fingerprint, SuspicionEvent.SURVIVED, CLEARED_TTL)

    def notices(self) -> tuple[SuspicionNotice, ...]:
        """Return the notices for peers: quarantined requests first, newest first.

        There are at most `MAX_NOTICES`, so that an exchange stays small.
        """
        return self._select(self._records)

    def fresh_notices(
        self, known: Iterable[SuspicionNotice] = ()
    ) -> tuple[SuspicionNotice, ...]:
        """Return the notices of records that changed lately, and count them as sent.

        They are chosen as those of `notices`. Each is returned `MAX_SENDS` times. Some
        of the other quarantined requests are added, in turn.

        Parameters
        ----------
        known : iterable of SuspicionNotice
            Notices that the receiver has sent itself; records as new as these are left
            out.
        """
        stamps = {notice.fingerprint: notice.stamp for notice in known}
        fresh = [
            fingerprint
            for fingerprint in self._sends_left
            if self._records[fingerprint].stamp != stamps.get(fingerprint)
        ]
        notices = self._select(fresh)
        for notice in notices:
            self._sends_left[notice.fingerprint] -= 1
            if not self._sends_left[notice.fingerprint]:
                del self._sends_left[notice.fingerprint]
        return (*notices, *self._repeated())

    def _repeated(self) -> list[SuspicionNotice]:
        """Return the notices of the next few quarantined requests."""
        quarantined = SuspicionState.QUARANTINED
        if not self._to_repeat:
            self._to_repeat = [
                fingerprint
                for fingerprint, record in self._records.items()
                if record.state is quarantined
            ]
        chosen = self._to_repeat[:MAX_REPEATED]
        del self._to_repeat[:MAX_REPEATED]
        return [
            self._to_notice(fingerprint, self._records[fingerprint])
            for fingerprint in chosen
            if fingerprint not in self._sends_left
            and self.state(fingerprint) is quarantined
        ]

    def _select(self, fingerprints: Iterable[str]) -> tuple[SuspicionNotice, ...]:
        now = self.clock.monotonic()
        chosen = heapq.nlargest(
            MAX_NOTICES,
            (
                (fingerprint, record)
                for fingerprint in fingerprints
                if now < (record := self._records[fingerprint]).expires_at
            ),
            key=lambda item: (
                item[1].state is SuspicionState.QUARANTINED,
                item[1].stamp,
            ),
        )
        return tuple(self._to_notice(*item) for item in chosen)

    def merge(self, notices: Iterable[SuspicionNotice]) -> tuple[SuspicionNotice, ...]:
        """Merge the notices of a peer; return those that changed a record here."""
        return tuple(notice for notice in notices if self._merge_notice(notice))

    def _merge_notice(self, notice: SuspicionNotice) -> bool:
        remaining = min(timedelta(milliseconds=notice.remaining_ms), MAX_TTL)
        before = self.state(notice.fingerprint)
        record = self._records.get(notice.fingerprint)
        if before is SuspicionState.QUARANTINED or remaining <= timedelta():
            return False
        is_quarantined = notice.state is SuspicionState.QUARANTINED
        if record and not is_quarantined and notice.stamp <= record.stamp:
            return False
        if before is notice.state and record:
            lost_alone = max(record.lost_alone, notice.lost_alone)
            self._records[notice.fingerprint] = replace(
                record, lost_alone=lost_alone, stamp=notice.stamp
            )
            has_changed = lost_alone > record.lost_alone
            if has_changed:
                self._sends_left[notice.fingerprint] = MAX_SENDS
            return has_changed
        self._put(
            notice.fingerprint,
            notice.state,
            notice.stamp,
            remaining,
            notice.lost_alone,
        )
        return True

    def _to_notice(self, fingerprint: str, record: _Record) -> SuspicionNotice:
        remaining = self.remaining(fingerprint)
        return SuspicionNotice(
            fingerprint,
            record.state,
            remaining // timedelta(milliseconds=1),
            record.lost_alone,
            record.stamp,
        )

    def _merge_loss(self, fingerprint: str, alone: bool) -> bool:
        """Count another loss of a suspect; return whether it counts as the same one."""
        record = self._records[fingerprint]
        elapsed = self.clock.monotonic() - record.state_since
        lost_alone = record.lost_alone + alone
        self._records[fingerprint] = replace(
            record, lost_alone=lost_alone, stamp=self.hybrid_clock.tick()
        )
        self._sends_left[fingerprint] = MAX_SENDS
        is_close = elapsed < LOSS_MERGE_WINDOW.total_seconds()
        return is_close and lost_alone < MAX_LOSSES_ALONE

    def _apply(self, fingerprint: str, event: SuspicionEvent, ttl: timedelta) -> bool:
        record = self._records.get(fingerprint)
        before = record.state if record else SuspicionState.CLEAR
        target = TRANSITIONS.get((before, event))
        if target is None:
            return False
        keeps_count = record and target is not SuspicionState.CLEAR
        lost_alone = record.lost_alone if keeps_count else 0
        self._put(fingerprint, target, self.hybrid_clock.tick(), ttl, lost_alone)
        return True

    def _put(
        self,
        fingerprint: str,
        state: SuspicionState,
        stamp: HybridTimestamp,
        ttl: timedelta,
        lost_alone: int,
    ) -> None:
        if len(self._records) >= MAX_RECORDS and fingerprint not in self._records:
            oldest = next(iter(self._records))
            del self._records[oldest]
            self._sends_left.pop(oldest, None)
        now = self.clock.monotonic()
        expires_at = now + ttl.total_seconds()
        self._records[fingerprint] = _Record(state, stamp, now, expires_at, lost_alone)
        self._sends_left[fingerprint] = MAX_SENDS

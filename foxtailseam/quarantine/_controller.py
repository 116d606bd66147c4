"""Keeps suspicion by fingerprint, in one process, level with its peers."""

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

LOSS_SEPARATION = timedelta(seconds=1)
LOSSES_ALONE = 2
SUSPICION_LIFE = timedelta(minutes=10)
CLEARED_LIFE = timedelta(seconds=30)
MAX_RECORDS = 10_000
MAX_NOTICES = 64


def fingerprint_of(family: str, content: str) -> str:
    """Return the fingerprint of a request, alike in every process."""
    text = f"{family}\0{content}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class SuspicionNotice:
    """What one process tells another of a request.

    Parameters
    ----------
    fingerprint : str
        The request.
    state : SuspicionState
        How it is treated; `SuspicionState.CLEAR` undoes an earlier suspicion.
    remaining_ms : int
        How much longer that lasts, in milliseconds.
    lost_alone : int
        Searchers that it lost as the only request of a run.
    stamp : HybridTimestamp
        When the state was entered; the later one counts.
    """

    fingerprint: str
    state: SuspicionState
    remaining_ms: int
    lost_alone: int
    stamp: HybridTimestamp


@dataclass(frozen=True, slots=True)
class _Record:
    state: SuspicionState
    stamp: HybridTimestamp
    last_loss: float
    expires_at: float
    lost_alone: int = 0


class QuarantineController:
    """Decides which requests are run alone first, and which are refused.

    Searchers lost within `LOSS_SEPARATION` count as one loss, so that the
    requests in flight when a rack goes are suspects at most. A suspect runs on
    one shard alone first; surviving that clears it, and losing a searcher
    twice when alone condemns it whatever the time between.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    hybrid : HybridClock
        Orders what several processes learnt of one request.
    """

    def __init__(self, clock: Clock, hybrid: HybridClock):
        self.clock = clock
        self.hybrid = hybrid
        self._records: dict[str, _Record] = {}

    def state(self, fingerprint: str) -> SuspicionState:
        """Return how a request is to be treated."""
        record = self._records.get(fingerprint)
        if record is None:
            return SuspicionState.CLEAR
        if self.clock.monotonic() < record.expires_at:
            return record.state
        if record.state is SuspicionState.CLEAR:
            del self._records[fingerprint]
            return SuspicionState.CLEAR
        self._apply(fingerprint, SuspicionEvent.EXPIRED, SUSPICION_LIFE)
        return self._records[fingerprint].state

    def remaining(self, fingerprint: str) -> timedelta:
        """Return how much longer the present state lasts."""
        record = self._records.get(fingerprint)
        if record is None:
            return timedelta()
        seconds = record.expires_at - self.clock.monotonic()
        return timedelta(seconds=max(0.0, seconds))

    def record_loss(self, fingerprint: str, quarantine: timedelta, alone: bool) -> bool:
        """Take note that searchers were lost.

        Parameters
        ----------
        fingerprint : str
            The request that was in flight there.
        quarantine : timedelta
            How long a second loss condemns it.
        alone : bool
            Whether it ran as a suspect, on one shard alone.

        Returns
        -------
        bool
            Whether there is news for the peers.
        """
        before = self.state(fingerprint)
        is_suspect = before is SuspicionState.SUSPECT
        if is_suspect and self._is_same_loss(fingerprint, alone):
            return alone
        life = quarantine if is_suspect else SUSPICION_LIFE
        return self._apply(fingerprint, SuspicionEvent.LOSS, life)

    def record_survival(self, fingerprint: str) -> bool:
        """Take note that a suspect ran alone without a loss; tell if it is news."""
        return self._apply(fingerprint, SuspicionEvent.SURVIVED, CLEARED_LIFE)

    def notices(self) -> tuple[SuspicionNotice, ...]:
        """Return what peers should know: the quarantined, then the latest.

        At most `MAX_NOTICES`, so that an exchange stays small.
        """
        current = self.clock.monotonic()
        chosen = heapq.nlargest(
            MAX_NOTICES,
            (
                (fingerprint, record)
                for fingerprint, record in self._records.items()
                if current < record.expires_at
            ),
            key=lambda item: (
                item[1].state is SuspicionState.QUARANTINED,
                item[1].stamp,
            ),
        )
        return tuple(self._notice(*item) for item in chosen)

    def merge(self, notices: Iterable[SuspicionNotice]) -> tuple[SuspicionNotice, ...]:
        """Merge what a peer knows; return what was news here."""
        return tuple(notice for notice in notices if self._merge(notice))

    def _merge(self, notice: SuspicionNotice) -> bool:
        remaining = timedelta(milliseconds=notice.remaining_ms)
        before = self.state(notice.fingerprint)
        record = self._records.get(notice.fingerprint)
        if before is SuspicionState.QUARANTINED or remaining <= timedelta():
            return False
        is_condemned = notice.state is SuspicionState.QUARANTINED
        if record and not is_condemned and notice.stamp <= record.stamp:
            return False
        if before is notice.state and record:
            lost_alone = max(record.lost_alone, notice.lost_alone)
            self._records[notice.fingerprint] = replace(
                record, lost_alone=lost_alone, stamp=notice.stamp
            )
            return lost_alone > record.lost_alone
        self._put(
            notice.fingerprint,
            notice.state,
            notice.stamp,
            remaining,
            notice.lost_alone,
        )
        return True

    def _notice(self, fingerprint: str, record: _Record) -> SuspicionNotice:
        remaining = self.remaining(fingerprint)
        return SuspicionNotice(
            fingerprint,
            record.state,
            remaining // timedelta(milliseconds=1),
            record.lost_alone,
            record.stamp,
        )

    def _is_same_loss(self, fingerprint: str, alone: bool) -> bool:
        """Return whether a loss is to be taken as one with the last."""
        record = self._records[fingerprint]
        elapsed = self.clock.monotonic() - record.last_loss
        lost_alone = record.lost_alone + alone
        self._records[fingerprint] = replace(
            record, lost_alone=lost_alone, stamp=self.hybrid.tick()
        )
        is_close = elapsed < LOSS_SEPARATION.total_seconds()
        return is_close and lost_alone < LOSSES_ALONE

    def _apply(self, fingerprint: str, event: SuspicionEvent, life: timedelta) -> bool:
        record = self._records.get(fingerprint)
        before = record.state if record else SuspicionState.CLEAR
        target = TRANSITIONS.get((before, event))
        if target is None:
            return False
        is_kept = record and target is not SuspicionState.CLEAR
        lost_alone = record.lost_alone if is_kept else 0
        self._put(fingerprint, target, self.hybrid.tick(), life, lost_alone)
        return True

    def _put(
        self,
        fingerprint: str,
        state: SuspicionState,
        stamp: HybridTimestamp,
        life: timedelta,
        lost_alone: int,
    ) -> None:
        if len(self._records) >= MAX_RECORDS and fingerprint not in self._records:
            self._records.pop(next(iter(self._records)))
        current = self.clock.monotonic()
        expires_at = current + life.total_seconds()
        self._records[fingerprint] = _Record(
            state, stamp, current, expires_at, lost_alone
        )

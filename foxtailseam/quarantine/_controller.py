"""Keeps suspicion by fingerprint, in one entry process."""

import hashlib
from dataclasses import dataclass
from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.quarantine._transitions import (
    TRANSITIONS,
    SuspicionEvent,
    SuspicionState,
)

LOSS_SEPARATION = timedelta(seconds=1)
SUSPICION_LIFE = timedelta(minutes=10)
MAX_RECORDS = 10_000


def fingerprint_of(family: str, content: str) -> str:
    """Return the fingerprint of a request, alike in every process."""
    text = f"{family}\0{content}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class _Record:
    state: SuspicionState
    last_loss: float
    expires_at: float


class QuarantineController:
    """Decides which requests are run alone first, and which are refused.

    Searchers lost within `LOSS_SEPARATION` count as one loss, so that the
    requests in flight when a rack goes are suspects at most. A suspect runs on
    one shard alone first; surviving that clears it.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self._records: dict[str, _Record] = {}

    def state(self, fingerprint: str) -> SuspicionState:
        """Return how a request is to be treated."""
        record = self._records.get(fingerprint)
        if record is None:
            return SuspicionState.CLEAR
        if self.clock.monotonic() >= record.expires_at:
            self._apply(fingerprint, SuspicionEvent.EXPIRED, SUSPICION_LIFE)
            return self.state(fingerprint)
        return record.state

    def remaining(self, fingerprint: str) -> timedelta:
        """Return how much longer the present state lasts."""
        record = self._records.get(fingerprint)
        if record is None:
            return timedelta()
        seconds = record.expires_at - self.clock.monotonic()
        return timedelta(seconds=max(0.0, seconds))

    def lost(self, fingerprint: str, quarantine: timedelta) -> bool:
        """Take note that searchers were lost; tell whether the state changed."""
        record = self._records.get(fingerprint)
        current = self.clock.monotonic()
        if record is not None and self.state(fingerprint) is not SuspicionState.CLEAR:
            elapsed = current - record.last_loss
            if elapsed < LOSS_SEPARATION.total_seconds():
                return False
        before = self.state(fingerprint)
        is_second = before is SuspicionState.SUSPECT
        life = quarantine if is_second else SUSPICION_LIFE
        self._apply(fingerprint, SuspicionEvent.LOSS, life)
        return self.state(fingerprint) is not before

    def survived(self, fingerprint: str) -> None:
        """Take note that a suspect ran alone without a loss."""
        self._apply(fingerprint, SuspicionEvent.SURVIVED, timedelta())

    def suspects(self) -> tuple[str, ...]:
        """Return the suspects, for peers."""
        return self._in_state(SuspicionState.SUSPECT)

    def quarantined(self) -> tuple[str, ...]:
        """Return the quarantined fingerprints, for peers."""
        return self._in_state(SuspicionState.QUARANTINED)

    def learn_suspect(self, fingerprint: str, remaining: timedelta) -> None:
        """Merge a peer's suspect; it expires when the peer's does."""
        is_news = self.state(fingerprint) is SuspicionState.CLEAR
        if is_news and remaining > timedelta():
            self._put(fingerprint, SuspicionState.SUSPECT, remaining)

    def learn_quarantined(self, fingerprint: str, remaining: timedelta) -> bool:
        """Merge a peer's quarantine; tell whether it was news."""
        if self.state(fingerprint) is SuspicionState.QUARANTINED:
            return False
        if remaining <= timedelta():
            return False
        self._put(fingerprint, SuspicionState.QUARANTINED, remaining)
        return True

    def _in_state(self, state: SuspicionState) -> tuple[str, ...]:
        return tuple(item for item in list(self._records) if self.state(item) is state)

    def _apply(self, fingerprint: str, event: SuspicionEvent, life: timedelta) -> None:
        record = self._records.get(fingerprint)
        before = record.state if record else SuspicionState.CLEAR
        target = TRANSITIONS.get((before, event))
        if target is None:
            return
        if target is SuspicionState.CLEAR:
            self._records.pop(fingerprint, None)
            return
        self._put(fingerprint, target, life)

    def _put(self, fingerprint: str, state: SuspicionState, life: timedelta) -> None:
        if len(self._records) >= MAX_RECORDS and fingerprint not in self._records:
            self._records.pop(next(iter(self._records)))
        current = self.clock.monotonic()
        expires_at = current + life.total_seconds()
        self._records[fingerprint] = _Record(state, current, expires_at)

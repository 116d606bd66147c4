"""Keeps a replica in sync with the configuration service: list, then watch."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from foxtailseam.clocks import Clock
from foxtailseam.store._client import (
    HistoryCompacted,
    StoreClient,
    StoreFailure,
    WatchResult,
)
from foxtailseam.store._position import Position
from foxtailseam.store._replica import Listing, StoreReplica

# A watch is overdue, so that the replica may be out of date, when it was not answered
# this long after the service should have ended it.
OVERDUE_SECONDS = 0.3
# Wait of a watch by which a replica of unknown age is found to be in sync.
SHORT_WAIT = timedelta(milliseconds=1)
# A watch without news that ended within this share of its wait has not waited.
EARLY_SHARE = 0.5
# Further failures in a row do not lengthen the backoff.
MAX_COUNTED_FAILURES = 16
# Reason of a failure: the response is of an earlier era than the replica.
OLDER_ERA = "older era"


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Timing of the reads of the configuration service.

    Parameters
    ----------
    watch_wait : timedelta
        How long the service may hold one watch open while there is no change. Short,
        since a lost answer is not noticed until the watch times out.
    batch_delay : timedelta
        Pause after a watch that returned changes, or a later position, so that the
        next one returns several changes at once.
    initial_backoff, max_backoff : timedelta
        Time from the start of a read that failed to the next read, after the first
        failure, and the longest one. It doubles with each further failure; jitter
        shortens it by up to 40 %.
    max_listing_backoff : timedelta
        Longest time from the start of a watch whose response is unusable to the listing
        that takes its place, or of one that has not waited to the next one.
    min_pause : timedelta
        Shortest pause between a read that failed and the next one, before jitter.
    """

    watch_wait: timedelta = timedelta(milliseconds=800)
    batch_delay: timedelta = timedelta(milliseconds=200)
    initial_backoff: timedelta = timedelta(milliseconds=250)
    max_backoff: timedelta = timedelta(seconds=2)
    max_listing_backoff: timedelta = timedelta(seconds=1)
    min_pause: timedelta = timedelta(milliseconds=250)


class FollowerState(StrEnum):
    """State of the connection to the configuration service.

    `UNKNOWN` before the first result and after the follower stopped, `IN_SYNC` after a
    successful read, `LOST` after a failed one.
    """

    UNKNOWN = "unknown"
    IN_SYNC = "level"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class ReadFailure:
    """A read of the service that failed, and when the next one is made.

    Parameters
    ----------
    reason : str
        Why the service gave no usable response.
    elapsed : float
        Seconds that the read took.
    failures : int
        Number of reads in a row that failed, this one included.
    pause : float
        Seconds until the next read.
    """

    reason: str
    elapsed: float
    failures: int
    pause: float


class StoreFollower:
    """Keeps a replica in sync with the configuration service while it runs.

    Parameters
    ----------
    client : StoreClient
        Client of the service.
    replica : StoreReplica
        Replica to keep in sync.
    clock : Clock
        Source of monotonic time.
    settings : FollowerSettings
        Timing of the reads.
    on_state_change : callable
        Called with each new state and the reason for it; the reason is empty unless
        the state is `FollowerState.LOST`.
    generator : random.Random
        Adds jitter, so that many processes do not retry at the same time.
    sleep : callable
        Coroutine function that waits for a number of seconds.
    on_failure : callable
        Called with each `ReadFailure`.
    """

    def __init__(
        self,
        client: StoreClient,
        replica: StoreReplica,
        clock: Clock,
        settings: FollowerSettings,
        on_state_change: Callable[[FollowerState, str], None],
        generator: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        on_failure: Callable[[ReadFailure], None] = lambda failure: None,
    ):
        self.client = client
        self.replica = replica
        self.clock = clock
        self.settings = settings
        self.on_state_change = on_state_change
        self.generator = generator
        self.sleep = sleep
        self.on_failure = on_failure
        self._state = FollowerState.UNKNOWN
        self._failures = 0
        # Watches in a row whose responses were unusable, listings between them aside.
        self._unusable_watches = 0
        # Watches in a row that the service refused since it lacks their history.
        self._compactions = 0
        # Watches in a row that ended at once without news.
        self._early_watches = 0
        self._in_sync_at = float("-inf")
        self._read_started_at = float("-inf")

    @property
    def state(self) -> FollowerState:
        """Return the state of the connection to the service."""
        return self._state

    @property
    def age(self) -> float:
        """Return the seconds since the replica was last known to be in sync.

        0 in state `FollowerState.IN_SYNC` while a watch is open and not overdue: it
        would report a change. Infinite before the first success.
        """
        elapsed = self.clock.monotonic() - self._in_sync_at
        max_elapsed = self.settings.watch_wait.total_seconds() + OVERDUE_SECONDS
        if self._state is FollowerState.IN_SYNC and elapsed <= max_elapsed:
            return 0.0
        return elapsed

    async def run(self) -> None:
        """List all keys once, then watch for changes, until cancelled.

        The first listing is skipped if the replica already has a position to watch
        from, one up to which orders are known as well. When the service does not have
        the changes since the last known position, cannot return them in one response,
        or came back from an older copy, all keys are listed again.
        """
        try:
            while True:
                if not self.replica.needs_listing or await self._list():
                    await self._watch()
                    while not await self._list():
                        pass
        finally:
            self._state = FollowerState.UNKNOWN

    async def _list(self) -> bool:
        self._read_started_at = self.clock.monotonic()
        listing = await self.client.list_items()
        match listing:
            case Listing(position=position) if self._is_outdated(position):
                await self._on_failure(OLDER_ERA)
                return False
            case Listing():
                self.replica.apply_listing(listing)
                self._on_success()
                return True
            case StoreFailure(reason=reason):
                await self._on_failure(reason)
                return False

    async def _watch(self) -> None:
        """Watch until only a listing can bring the replica in sync again.

        That is when the history is compacted, the service starts another era, or the
        same watch would fail again: a listing has only the newest change of each key.
        After another failure it watches again from the same position.
        """
        while not self.replica.needs_listing:
            self._read_started_at = self.clock.monotonic()
            wait = self._choose_wait()
            result = await self.client.watch(self.replica.orders_position, wait)
            match result:
                case WatchResult(position=position) if self._is_outdated(position):
                    await self._on_failure(OLDER_ERA)
                case WatchResult(position=position) if self._is_later_era(position):
                    # Jitter, so that the readers do not list at the same moment.
                    delay = self.settings.batch_delay.total_seconds()
                    await self.sleep(delay * self.generator.random())
                    return
                case WatchResult(changes=changes, position=position):
                    has_news = position > self.replica.position or bool(changes)
                    self.replica.apply(changes, position)
                    self._unusable_watches = self._compactions = 0
                    self._on_success()
                    if has_news or wait != SHORT_WAIT:
                        await self._pause_after_watch(has_news)
                case HistoryCompacted():
                    await self._on_compacted()
                    return
                case StoreFailure(reason=reason, would_repeat=True):
                    await self._on_unusable_watch(reason)
                    return
                case StoreFailure(reason=reason):
                    await self._on_failure(reason)

    def _choose_wait(self) -> timedelta:
        """Return how long the service may hold the next watch open.

        Hosts that follow this one need to know soon that its replica is in sync.
        """
        is_in_sync = self._state is FollowerState.IN_SYNC
        return self.settings.watch_wait if is_in_sync else SHORT_WAIT

    async def _pause_after_watch(self, has_news: bool) -> None:
        """Pause after a watch that has not waited, longer after each one without news.

        No service is asked again and again only because it ends each watch at once.
        """
        elapsed = self.clock.monotonic() - self._read_started_at
        if has_news:
            self._early_watches = 0
            await self.sleep(self.settings.batch_delay.total_seconds())
        elif elapsed >= EARLY_SHARE * self.settings.watch_wait.total_seconds():
            self._early_watches = 0
        else:
            self._early_watches = min(self._early_watches + 1, MAX_COUNTED_FAILURES)
            longest = self.settings.max_listing_backoff
            await self.sleep(self._compute_pause(elapsed, self._early_watches, longest))

    def _is_outdated(self, position: Position) -> bool:
        return position.era < self.replica.position.era

    def _is_later_era(self, position: Position) -> bool:
        return position.era > self.replica.position.era

    def _on_success(self) -> None:
        self._failures = 0
        self._in_sync_at = self.clock.monotonic()
        self._set_state(FollowerState.IN_SYNC, "")

    async def _on_failure(self, reason: str) -> None:
        self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
        await self._back_off(reason, self._failures, self.settings.max_backoff)

    async def _on_unusable_watch(self, reason: str) -> None:
        """Back off longer after each one: successful listings are no reason not to."""
        self._unusable_watches = min(self._unusable_watches + 1, MAX_COUNTED_FAILURES)
        longest = self.settings.max_listing_backoff
        await self._back_off(reason, self._unusable_watches, longest)

    async def _on_compacted(self) -> None:
        """Pause if a watch from a listing was refused, too: the next one may be."""
        self._compactions = min(self._compactions + 1, MAX_COUNTED_FAILURES)
        if self._compactions > 1:
            longest = self.settings.max_listing_backoff
            await self.sleep(self._compute_pause(0.0, self._compactions - 1, longest))

    async def _back_off(self, reason: str, failures: int, longest: timedelta) -> None:
        self._set_state(FollowerState.LOST, reason)
        elapsed = self.clock.monotonic() - self._read_started_at
        pause = self._compute_pause(elapsed, failures, longest)
        self.on_failure(ReadFailure(reason, elapsed, failures, pause))
        await self.sleep(pause)

    def _compute_pause(
        self, elapsed: float, failures: int, longest: timedelta
    ) -> float:
        """Return the seconds to wait after a failed read.

        Time that the read took counts: the host must not wait for its timeout and then
        for the whole backoff, since the service may be back in the meantime.
        """
        initial = self.settings.initial_backoff.total_seconds()
        backoff = min(longest.total_seconds(), initial * 2 ** (failures - 1))
        pause = max(self.settings.min_pause.total_seconds(), backoff - elapsed)
        return pause * self.generator.uniform(0.6, 1.0)

    def _set_state(self, state: FollowerState, reason: str) -> None:
        if state is not self._state:
            self._state = state
            self.on_state_change(state, reason)

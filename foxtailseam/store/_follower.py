"""Keeps a replica level with the configuration service: list, then watch."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from foxtailseam.clocks import Clock
from foxtailseam.store._replica import Listing, StoreReplica
from foxtailseam.store._results import (
    HistoryCompacted,
    StoreClient,
    StoreFailure,
    WatchResult,
)


@dataclass(frozen=True, slots=True)
class FollowerSettings:
    """How the service is read.

    Parameters
    ----------
    watch_wait : timedelta
        How long one watch may wait for a change.
    batch_delay : timedelta
        Pause after changes came, so that the next watch brings several at once.
    initial_backoff, max_backoff : timedelta
        Pause after the first failure, and the longest one; it doubles between.
    """

    watch_wait: timedelta = timedelta(seconds=25)
    batch_delay: timedelta = timedelta(milliseconds=200)
    initial_backoff: timedelta = timedelta(milliseconds=250)
    max_backoff: timedelta = timedelta(seconds=2)


class FollowerState(StrEnum):
    """What is known of the service."""

    UNKNOWN = "unknown"
    IN_SYNC = "level"
    LOST = "lost"


class StoreFollower:
    """Reads the service for as long as it runs.

    Parameters
    ----------
    client : StoreClient
        The reads.
    replica : StoreReplica
        What is kept level.
    clock : Clock
        Source of monotonic time.
    settings : FollowerSettings
        Waits and pauses.
    on_state : callable
        Gets each new state and the reason.
    generator : random.Random
        Spreads the pauses of many processes.
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        client: StoreClient,
        replica: StoreReplica,
        clock: Clock,
        settings: FollowerSettings,
        on_state: Callable[[FollowerState, str], None],
        generator: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self.client = client
        self.replica = replica
        self.clock = clock
        self.settings = settings
        self.on_state = on_state
        self.generator = generator
        self.sleep = sleep
        self._state = FollowerState.UNKNOWN
        self._failures = 0
        self._level_at = float("-inf")

    @property
    def state(self) -> FollowerState:
        """Return what is known of the service."""
        return self._state

    @property
    def age(self) -> float:
        """Return the seconds since the replica was last known to be level.

        0 while a watch waits: its connection is probed, and a change would come.
        """
        if self._state is FollowerState.IN_SYNC:
            return 0.0
        return self.clock.monotonic() - self._level_at

    async def run(self) -> None:
        """List and watch until cancelled; a copy that is filled is watched on."""
        try:
            while True:
                if self.replica.revision or await self._list():
                    await self._watch()
                    while not await self._list():
                        pass
        finally:
            self._leave_level()
            self._state = FollowerState.UNKNOWN

    async def _list(self) -> bool:
        listing = await self.client.list_items()
        match listing:
            case Listing():
                self.replica.apply_listing(listing)
                self._succeeded()
                return True
            case StoreFailure(reason=reason):
                await self._failed(reason)
                return False

    async def _watch(self) -> None:
        """Watch until the history is gone; a failure alone needs no new listing."""
        after = self.replica.revision
        while True:
            result = await self.client.watch(after, self.settings.watch_wait)
            match result:
                case WatchResult(changes=changes, revision=revision):
                    self.replica.apply(changes, revision)
                    after = max(after, revision)
                    self._succeeded()
                    if changes:
                        await self.sleep(self.settings.batch_delay.total_seconds())
                case HistoryCompacted():
                    return
                case StoreFailure(reason=reason):
                    await self._failed(reason)

    def _succeeded(self) -> None:
        self._failures = 0
        self._level_at = self.clock.monotonic()
        self._enter(FollowerState.IN_SYNC, "")

    async def _failed(self, reason: str) -> None:
        self._leave_level()
        self._enter(FollowerState.LOST, reason)
        first = self.settings.initial_backoff.total_seconds()
        last = self.settings.max_backoff.total_seconds()
        pause = min(last, first * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        await self.sleep(pause * self.generator.uniform(0.6, 1.0))

    def _leave_level(self) -> None:
        if self._state is FollowerState.IN_SYNC:
            self._level_at = self.clock.monotonic()

    def _enter(self, state: FollowerState, reason: str) -> None:
        if state is not self._state:
            self._state = state
            self.on_state(state, reason)

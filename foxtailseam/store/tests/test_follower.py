"""Tests of reading the configuration service, with faults in tables."""

import asyncio
import random
from datetime import timedelta

import pytest

from foxtailseam.clocks import ManualClock
from foxtailseam.store import (
    FollowerSettings,
    FollowerState,
    HistoryCompacted,
    Item,
    Listing,
    StoreFailure,
    StoreFollower,
    StoreReplica,
    WatchResult,
)


class ScriptedClient:
    """Gives the results of a script; after its end every call waits for ever."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    async def list_items(self):
        return await self._next("list")

    async def watch(self, after, wait):
        return await self._next(("watch", after))

    async def _next(self, call):
        self.calls.append(call)
        if not self.script:
            await asyncio.Event().wait()
        return self.script.pop(0)


LISTING = Listing((Item("a", b"1", 4),), 5)
NEWS = WatchResult((Item("b", b"1", 6),), 6)


def follow(*script):
    """Run a follower over a script; return it, its calls, states and pauses."""
    clock = ManualClock()
    client = ScriptedClient(*script)
    replica = StoreReplica(lambda change: None)
    states, pauses = [], []

    async def sleep(seconds):
        pauses.append(seconds)
        clock.advance(timedelta(seconds=seconds))
        await asyncio.sleep(0)

    follower = StoreFollower(
        client,
        replica,
        clock,
        FollowerSettings(),
        lambda state, reason: states.append((state, reason)),
        random.Random(1),
        sleep,
    )

    async def run():
        task = asyncio.create_task(follower.run())
        for _ in range(200):
            await asyncio.sleep(0)
        seen = follower.state, follower.age
        task.cancel()
        return seen

    state, age = asyncio.run(run())
    return state, age, replica, client.calls, states, pauses


class TestStoreFollower:
    def test_a_change_is_taken_and_watched_on_from(self):
        state, age, replica, calls, _, _ = follow(LISTING, NEWS)
        assert state is FollowerState.IN_SYNC
        assert age == 0.0
        assert calls == ["list", ("watch", 5), ("watch", 6)]
        assert {change.key for change in replica.changes} == {"a", "b"}

    @pytest.mark.parametrize("reason", ["timeout", "503", "429", "reset"])
    def test_a_failed_watch_goes_on_where_it_was(self, reason):
        failure = StoreFailure(reason)
        state, _, _, calls, states, _ = follow(LISTING, failure, failure, NEWS)
        assert calls == ["list", *[("watch", 5)] * 3, ("watch", 6)]
        assert states[1] == (FollowerState.LOST, reason)
        assert state is FollowerState.IN_SYNC

    def test_lost_history_means_a_new_listing(self):
        later = Listing((), 40)
        _, _, replica, calls, _, _ = follow(LISTING, HistoryCompacted(), later)
        assert calls == ["list", ("watch", 5), "list", ("watch", 40)]
        assert not replica.items

    def test_an_outage_is_asked_ever_less_often(self):
        _, age, _, _, _, pauses = follow(LISTING, *[StoreFailure("503")] * 12)
        assert pauses[0] <= 0.25
        assert all(1.2 <= pause <= 2.0 for pause in pauses[4:])
        assert age > 10.0

    def test_the_service_is_never_older_than_what_was_known(self):
        stale = WatchResult((Item("a", b"0", 2),), 3)
        _, _, replica, calls, _, _ = follow(LISTING, stale)
        assert replica.changes == (Item("a", b"1", 4),)
        assert calls[-1] == ("watch", 5)

    def test_a_second_run_watches_from_what_is_known(self):
        _, _, replica, _, _, _ = follow(LISTING)
        client = ScriptedClient()
        follower = StoreFollower(
            client,
            replica,
            ManualClock(),
            FollowerSettings(),
            lambda *_: None,
            random.Random(1),
        )

        async def run():
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()

        asyncio.run(run())
        assert client.calls == [("watch", 5)]

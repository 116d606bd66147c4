"""Tests of following the configuration service, with scripted results and failures."""

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
    Position,
    StoreFailure,
    StoreFollower,
    StoreReplica,
    WatchResult,
)
from foxtailseam_bench.simulation import run_in_virtual_time


def at(revision, era=0):
    return Position(era, revision)


class ScriptedClient:
    """Returns the results of a script; after its end every call waits forever."""

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


# Time in which a confirmed configuration has to be in force.
CONFIGURATION_SECONDS = 3.0
LISTING = Listing((Item("a", b"1", at(4)),), at(5))
CHANGE = WatchResult((Item("b", b"1", at(6)),), at(6))


def run_follower(*script):
    """Run a follower on a script.

    Returns its state and age, the replica, the calls of the client, the reported states
    and the pauses in seconds.
    """
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
        result = follower.state, follower.age
        task.cancel()
        return result

    state, age = asyncio.run(run())
    return state, age, replica, client.calls, states, pauses


class WaitingClient(ScriptedClient):
    """Ends each watch without changes after its wait."""

    async def watch(self, after, wait):
        self.calls.append(wait)
        await asyncio.sleep(wait.total_seconds())
        return WatchResult((), after)


class TestStartFromAPosition:
    @staticmethod
    def run(seconds):
        async def main():
            clock = asyncio.get_running_loop()
            replica = StoreReplica(lambda change: None)
            replica.apply_listing(LISTING)
            client = WaitingClient()
            follower = StoreFollower(
                client,
                replica,
                clock,
                FollowerSettings(),
                lambda *_: None,
                random.Random(1),
            )
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(seconds)
            age = follower.age
            task.cancel()
            return age, client.calls

        return run_in_virtual_time(main())

    def test_it_is_known_at_once_whether_the_replica_is_in_sync(self):
        age, _ = self.run(0.1)
        assert age == 0.0

    def test_only_the_first_watch_does_not_wait(self):
        _, waits = self.run(5.0)
        assert len(waits) == 8
        assert set(waits[1:]) == {FollowerSettings().watch_wait}


class TestUnansweredWatch:
    def test_replica_ages_although_the_connection_stays_open(self):
        async def run():
            clock = ManualClock()
            replica = StoreReplica(lambda change: None)
            follower = StoreFollower(
                ScriptedClient(LISTING),
                replica,
                clock,
                FollowerSettings(),
                lambda *_: None,
                random.Random(1),
            )
            task = asyncio.create_task(follower.run())
            for _ in range(20):
                await asyncio.sleep(0)
            ages = [follower.age]
            for _ in range(5):
                clock.advance(timedelta(seconds=1))
                ages.append(follower.age)
            task.cancel()
            return ages

        ages = asyncio.run(run())
        assert ages[0] == 0.0
        assert ages[2:] == [2.0, 3.0, 4.0, 5.0]

    def test_failure_does_not_make_the_replica_younger(self):
        _, age, _, _, _, pauses = run_follower(LISTING, StoreFailure("timeout"))
        assert age == pytest.approx(sum(pauses), abs=1e-5)


class SilentService:
    """Answers no read that starts during an outage, and all others at once.

    An unanswered read is given up after as long as `PlatformStore` waits.
    """

    READ_TIMEOUT = timedelta(seconds=1.5)
    WATCH_MARGIN = timedelta(seconds=1.2)

    def __init__(self, clock, outage_start, outage_end):
        self.clock = clock
        self.outage_start = outage_start
        self.outage_end = outage_end
        self.answered_at = []

    async def list_items(self):
        return await self._read(LISTING, self.READ_TIMEOUT)

    async def watch(self, after, wait):
        answer = WatchResult((), LISTING.position)
        return await self._read(answer, wait + self.WATCH_MARGIN)

    async def _read(self, answer, timeout):
        await asyncio.sleep(0)
        started_at = self.clock.monotonic()
        if self.outage_start <= started_at < self.outage_end:
            self.clock.advance(timeout)
            return StoreFailure("timeout")
        self.clock.advance(timedelta(milliseconds=50))
        self.answered_at.append(self.clock.monotonic())
        return answer


def seconds_out_of_sync_after_outage(seed):
    """Return how long after a silent outage a follower reads again."""
    generator = random.Random(seed)
    clock = ManualClock()
    start = clock.monotonic() + generator.uniform(1.0, 3.0)
    end = start + generator.uniform(5.0, 30.0)
    service = SilentService(clock, start, end)

    async def sleep(seconds):
        clock.advance(timedelta(seconds=seconds))
        await asyncio.sleep(0)

    follower = StoreFollower(
        service,
        StoreReplica(lambda change: None),
        clock,
        FollowerSettings(),
        lambda *_: None,
        generator,
        sleep,
    )

    async def run():
        task = asyncio.create_task(follower.run())
        while clock.monotonic() < end or service.answered_at[-1] < end:
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    return next(moment for moment in service.answered_at if moment >= end) - end


class TestSilentOutage:
    def test_replica_is_in_sync_before_a_configuration_is_due(self):
        waits = [seconds_out_of_sync_after_outage(seed) for seed in range(300)]
        assert max(waits) <= CONFIGURATION_SECONDS


class TestStoreFollower:
    def test_a_change_is_applied_and_the_watch_continues_after_it(self):
        state, age, replica, calls, _, _ = run_follower(LISTING, CHANGE)
        assert state is FollowerState.IN_SYNC
        assert age == 0.0
        assert calls == ["list", ("watch", at(5)), ("watch", at(6))]
        assert {change.key for change in replica.changes} == {"a", "b"}

    @pytest.mark.parametrize("reason", ["timeout", "503", "429", "reset"])
    def test_a_failed_watch_resumes_from_the_same_revision(self, reason):
        failure = StoreFailure(reason)
        state, _, _, calls, states, _ = run_follower(LISTING, failure, failure, CHANGE)
        assert calls == ["list", *[("watch", at(5))] * 3, ("watch", at(6))]
        assert states[1] == (FollowerState.LOST, reason)
        assert state is FollowerState.IN_SYNC

    def test_compacted_history_requires_a_new_listing(self):
        later = Listing((), at(40))
        _, _, replica, calls, _, _ = run_follower(LISTING, HistoryCompacted(), later)
        assert calls == ["list", ("watch", at(5)), "list", ("watch", at(40))]
        assert not replica.items

    def test_retries_back_off_during_an_outage(self):
        _, age, _, _, _, pauses = run_follower(LISTING, *[StoreFailure("503")] * 12)
        assert pauses[0] <= 0.25
        assert all(1.2 <= pause <= 2.0 for pause in pauses[4:])
        assert age > 10.0

    def test_an_outdated_watch_result_does_not_revert_the_replica(self):
        stale = WatchResult((Item("a", b"0", at(2)),), at(3))
        _, _, replica, calls, _, _ = run_follower(LISTING, stale)
        assert replica.changes == (Item("a", b"1", at(4)),)
        assert calls[-1] == ("watch", at(5))

    def test_a_second_run_watches_from_the_known_revision(self):
        _, _, replica, _, _, _ = run_follower(LISTING)
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
        assert client.calls == [("watch", at(5))]


class TestUnusableWatch:
    """A watch fails in a way in which it would fail again, such as by its size."""

    TOO_LARGE = StoreFailure("too-large", would_repeat=True)
    NEWER = Listing((Item("a", b"2", at(40)),), at(40))

    def test_after_a_storm_of_large_changes_a_listing_brings_the_newest(self):
        script = (LISTING, self.TOO_LARGE, self.NEWER)
        state, _, replica, calls, states, pauses = run_follower(*script)
        assert calls == ["list", ("watch", at(5)), "list", ("watch", at(40))]
        assert (FollowerState.LOST, "too-large") in states
        assert state is FollowerState.IN_SYNC
        assert replica.items == self.NEWER.items
        assert sum(pauses) <= 0.25

    def test_listings_become_rare_while_each_watch_fails(self):
        script = [LISTING, *[self.TOO_LARGE, self.NEWER] * 8]
        *_, pauses = run_follower(*script)
        assert sum(pauses) >= 4.0
        assert max(pauses) < CONFIGURATION_SECONDS - 1.5

    def test_a_sound_watch_ends_the_backoff(self):
        sound = WatchResult((), at(41))
        script = [LISTING, *[self.TOO_LARGE, self.NEWER] * 5, sound, self.TOO_LARGE]
        *_, pauses = run_follower(*script)
        assert pauses[-1] <= 0.25


class TestEra:
    """The service comes back from an older copy of its data."""

    RESTORED = Listing((Item("a", b"2", at(3, 1)),), at(3, 1))

    def test_a_watch_answered_in_a_later_era_leads_to_one_listing(self):
        later = WatchResult((Item("b", b"1", at(6, 1)),), at(6, 1))
        _, _, replica, calls, _, _ = run_follower(LISTING, later, self.RESTORED)
        assert calls == ["list", ("watch", at(5)), "list", ("watch", at(3, 1))]
        assert replica.items == self.RESTORED.items

    def test_a_watch_from_a_revision_that_the_copy_lacks_leads_to_one_listing(self):
        script = (LISTING, HistoryCompacted(), self.RESTORED)
        state, _, replica, calls, _, _ = run_follower(*script)
        assert calls == ["list", ("watch", at(5)), "list", ("watch", at(3, 1))]
        assert state is FollowerState.IN_SYNC
        assert replica.position == at(3, 1)

    def test_a_response_of_an_earlier_era_is_not_used(self):
        stale = WatchResult((Item("a", b"0", at(9)),), at(9))
        script = (self.RESTORED, stale, stale, WatchResult((), at(4, 1)))
        state, _, replica, _, states, _ = run_follower(*script)
        assert (FollowerState.LOST, "older era") in states
        assert state is FollowerState.IN_SYNC
        assert replica.items == self.RESTORED.items


class TestUnknownPosition:
    def test_a_service_that_never_knows_the_position_is_not_read_without_pause(self):
        script = [LISTING, HistoryCompacted()] * 50
        _, _, _, calls, _, pauses = run_follower(*script)
        assert len(calls) >= 100
        # The first refusal is one of history that was compacted; jitter is up to 40 %.
        shortest = 0.6 * FollowerSettings().min_pause.total_seconds()
        assert len(pauses) == 49
        assert min(pauses) >= shortest

    def test_all_keys_are_listed_at_once_after_a_compaction(self):
        script = [LISTING, CHANGE, HistoryCompacted(), LISTING]
        _, _, _, calls, _, pauses = run_follower(*script)
        assert calls.count("list") == 2
        assert sum(pauses) <= FollowerSettings().batch_delay.total_seconds()


class TestWatchesThatReturnAtOnce:
    # Guards against: calls without a pause to a service that ends each watch at once.
    def test_watches_without_news_are_spaced_further_and_further(self):
        nothing = WatchResult((), at(5))
        state, _, _, calls, _, pauses = run_follower(LISTING, *[nothing] * 10)
        assert calls == ["list"] + [("watch", at(5))] * 11
        assert state is FollowerState.IN_SYNC
        assert len(pauses) == 10
        assert pauses[0] >= 0.6 * 0.25
        assert all(pause >= 0.6 for pause in pauses[3:])
        assert max(pauses) <= CONFIGURATION_SECONDS / 3

    # Guards against: the same, while others write keys that this system does not use.
    def test_watches_that_bring_only_a_later_position_are_spaced(self):
        results = [WatchResult((), at(6 + number)) for number in range(10)]
        _, _, replica, _, _, pauses = run_follower(LISTING, *results)
        assert replica.position == at(15)
        assert len(pauses) == 10
        assert min(pauses) >= 0.2

    def test_a_watch_that_waited_is_repeated_at_once(self):
        clock = ManualClock()

        class WaitingClient(ScriptedClient):
            async def watch(self, after, wait):
                clock.advance(wait)
                return await super().watch(after, wait)

        client = WaitingClient(LISTING, *[WatchResult((), at(5))] * 5)
        pauses = []

        async def run():
            follower = StoreFollower(
                client,
                StoreReplica(lambda change: None),
                clock,
                FollowerSettings(),
                lambda *_: None,
                random.Random(1),
                sleep=lambda seconds: asyncio.sleep(pauses.append(seconds) or 0),
            )
            task = asyncio.create_task(follower.run())
            for _ in range(50):
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(run())
        assert len(client.calls) == 7
        assert pauses == []

"""Tests of the updates that a host sends to its followers."""

import asyncio
from datetime import timedelta

from foxtailseam.catalogue import Catalogue
from foxtailseam.fleet import HostRecord
from foxtailseam.fleet._messages import FollowRequest
from foxtailseam.fleet._relay import Relay
from foxtailseam.store import Listing, Position, StoreReplica
from foxtailseam_bench.simulation import VirtualTime

INTERVAL = timedelta(milliseconds=500)
RECORD = HostRecord("10.0.0.9:1", "d1", 1)


class NullListener:
    def searcher_changed(self, entry):
        pass


class Source:
    """A relay whose age the test sets."""

    def __init__(self):
        self.time = VirtualTime()
        self.age = 0.0
        replica = StoreReplica(lambda change: None)
        replica.apply_listing(Listing((), Position(0, 5)))
        catalogue = Catalogue(self.time, NullListener())
        self.relay = Relay(replica, catalogue, INTERVAL, lambda: self.age, self.time)

    def wait(self, seconds):
        self.time.run_until(self.time.monotonic() + seconds)


class TestUpdates:
    def test_era_without_a_revision_is_not_sent_without_pause(self):
        async def main():
            source = Source()
            source.relay.replica.apply_listing(Listing((), Position(1, 0)))
            updates = source.relay.updates(FollowRequest(RECORD, 5))
            await anext(updates)
            pending = asyncio.ensure_future(anext(updates))
            await asyncio.sleep(0.05)
            is_waiting = not pending.done()
            pending.cancel()
            return is_waiting

        assert asyncio.run(main())


class TestAges:
    def test_a_follower_hears_at_once_that_the_copy_was_in_sync(self):
        async def main():
            source = Source()
            updates = source.relay.updates(FollowRequest(RECORD, 5))
            await anext(updates)
            source.age = 0.01
            pending = asyncio.ensure_future(anext(updates))
            await asyncio.sleep(0)
            source.relay.refresh()
            update = await asyncio.wait_for(pending, INTERVAL.total_seconds() / 4)
            await updates.aclose()
            return update

        assert asyncio.run(main()).age_ms == 10

    def test_parents_that_take_turns_do_not_double_the_updates(self):
        source = Source()
        sent = []
        source.relay.notify = lambda: sent.append(source.time.monotonic())
        for _ in range(100):
            source.relay.refresh()
            source.wait(0.05)
        # 5 s, at most one for each 0.35 s.
        assert len(sent) <= 15

"""Tests of the client of the platform's store, against a stand-in on loopback."""

import asyncio
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.platform import PlatformStore, _store
from foxtailseam.store import (
    HistoryCompacted,
    Item,
    Listing,
    Position,
    StoreFailure,
    WatchResult,
)
from foxtailseam_bench.platform_stand_in import StandInStore

WAIT = timedelta(milliseconds=50)
# Time until the client has noticed that its connections were reset.
RESET_SECONDS = 0.05


def run(scenario):
    """Run a scenario with a stand-in and a client of it."""

    async def main():
        stand_in = StandInStore()
        server = await asyncio.start_server(stand_in.handle_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = PlatformStore(f"127.0.0.1:{port}", SystemClock())
        try:
            return await scenario(stand_in, client)
        finally:
            client.close()
            server.close()

    return asyncio.run(main())


class TestEra:
    def test_a_store_without_eras_is_in_the_first(self):
        async def scenario(stand_in, client):
            stand_in.put("a", b"1")
            return await client.list_items()

        assert run(scenario) == Listing(
            (Item("a", b"1", Position(0, 2)),), Position(0, 2)
        )

    def test_positions_have_the_era_of_the_response(self):
        async def scenario(stand_in, client):
            stand_in.era = 4
            stand_in.put("a", b"1")
            listing = await client.list_items()
            stand_in.put("b", b"1")
            stand_in.restore(1)
            await asyncio.sleep(RESET_SECONDS)
            stand_in.put("c", b"1")
            return listing, await client.watch(listing.position, WAIT)

        listing, result = run(scenario)
        assert listing.position == Position(4, 2)
        assert result == WatchResult((Item("c", b"1", Position(5, 3)),), Position(5, 3))

    def test_a_revision_that_the_copy_lacks_is_not_watched(self):
        async def scenario(stand_in, client):
            stand_in.era = 1
            for key in "abc":
                stand_in.put(key, b"1")
            listing = await client.list_items()
            stand_in.restore(2)
            await asyncio.sleep(RESET_SECONDS)
            return await client.watch(listing.position, WAIT)

        assert run(scenario) == HistoryCompacted()

    @pytest.mark.parametrize(
        ("era", "reason"),
        [("x", "malformed era"), ("-1", "malformed era"), ("2", "older era")],
    )
    def test_a_response_with_an_unusable_era_is_a_failure(self, era, reason):
        async def scenario(stand_in, client):
            stand_in.era = 3
            await client.list_items()
            stand_in.era = era
            return await client.list_items()

        assert run(scenario) == StoreFailure(reason)


class TestLargeResponses:
    def test_a_watch_over_the_limit_says_that_it_would_repeat(self):
        async def scenario(stand_in, client):
            stand_in.put("a", b"0")
            listing = await client.list_items()
            for _ in range(10):
                stand_in.put("a", b"x" * 1_000_000)
            result = await client.watch(listing.position, WAIT)
            # Only the newest of the ten versions.
            return result, await client.list_items()

        result, listing = run(scenario)
        assert result == StoreFailure("too-large", would_repeat=True)
        assert [len(item.value) for item in listing.items] == [1_000_000]

    def test_a_watch_that_cannot_be_read_says_that_it_would_repeat(self):
        async def scenario(stand_in, client):
            stand_in.put("a", b"0")
            listing = await client.list_items()
            stand_in._append({"key": "a", "value": 7, "revision": 3})
            return await client.watch(listing.position, WAIT)

        result = run(scenario)
        assert isinstance(result, StoreFailure)
        assert result.would_repeat

    def test_a_listing_is_bounded_in_all(self, monkeypatch):
        monkeypatch.setattr(_store, "_MAX_LISTING_BYTES", 3_000_000)

        async def scenario(stand_in, client):
            for number in range(300):
                stand_in.put(f"key-{number:03}", b"x" * 10_000)
            return await client.list_items(), stand_in.calls

        result, calls = run(scenario)
        assert result == StoreFailure("too-large", would_repeat=True)
        assert calls == 5

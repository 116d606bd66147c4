"""Tests of the HTTP client against searchers with injected faults."""

import asyncio
import socket
import threading
from datetime import timedelta
from types import SimpleNamespace

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.http import HttpResponse
from foxtailseam.searchers import (
    Answered,
    AttemptRequest,
    Broken,
    Mismatched,
    NotSent,
    SearcherClient,
    Shed,
    TimedOut,
    VersionGone,
)
from foxtailseam.searchers._client import DEFAULT_RETRY_AFTER, _parse_response
from foxtailseam_bench._ports import free_ports
from foxtailseam_bench._processes import unaccepting_address
from foxtailseam_bench.searcher import (
    Record,
    SearcherBehaviour,
    SearcherSpec,
    serve_searchers,
)

TIMEOUT = timedelta(milliseconds=400)
RECORDS = [Record("r1", 1.0, "climber 1")]
SEARCH = AttemptRequest("a" * 24, "/search", 3, b'{"query": "climber"}')


def send(address, *requests):
    """Send requests one after the other through one client; return the results."""

    async def main():
        client = SearcherClient(address, 4, SystemClock())
        results = [await client.send(request, TIMEOUT) for request in requests]
        client.close()
        return results

    return asyncio.run(main())


def wait_until_listening(address):
    """Wait until the port accepts connections.

    The health endpoint cannot be used, as a draining searcher is never ready.
    """
    host, _, port = address.rpartition(":")
    while True:
        try:
            socket.create_connection((host, int(port)), 1).close()
        except ConnectionRefusedError:
            continue
        return


@pytest.fixture
def serve():
    """Run a searcher with the given behaviour in a thread; return its address."""
    loops, tasks = [], []

    def start(**behaviour):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        spec = SearcherSpec(address, "s", RECORDS, SearcherBehaviour(**behaviour))
        loop = asyncio.new_event_loop()
        loops.append(loop)
        tasks.append(loop.create_task(serve_searchers([spec])))
        threading.Thread(target=loop.run_forever, daemon=True).start()
        wait_until_listening(address)
        return address

    yield start
    for loop, task in zip(loops, tasks, strict=True):
        task.add_done_callback(lambda _, loop=loop: loop.stop())
        loop.call_soon_threadsafe(task.cancel)


class TestSearcherClient:
    @pytest.mark.parametrize(
        ("behaviour", "expected"),
        [
            ({}, Answered),
            ({"shed": 1.0}, Shed),
            ({"draining": True}, Shed),
            ({"versions": [1, 2]}, VersionGone),
            ({"versions": [3]}, Answered),
            ({"cut": "before"}, Broken),
            ({"cut": "within"}, Broken),
            ({"cut": "after"}, Broken),
            ({"service_ms": 900.0}, TimedOut),
        ],
    )
    def test_result_by_searcher_behaviour(self, serve, behaviour, expected):
        (result,) = send(serve(**behaviour), SEARCH)
        if expected is Answered:
            assert result.index_version == 3
            assert [hit.record for hit in result.hits] == ["r1"]
        assert isinstance(result, expected)

    def test_a_reachable_searcher_with_a_cut_connection_is_not_lost(self, serve):
        assert send(serve(cut="after"), SEARCH) == [Broken(lost=False)]

    def test_refused_connection_returns_not_sent(self):
        assert send(f"127.0.0.1:{free_ports(1)[0]}", SEARCH) == [NotSent()]

    def test_connection_that_is_not_open_in_time_is_not_a_refusal(self):
        async def main():
            with unaccepting_address() as address:
                client = SearcherClient(address, 4, SystemClock())
                return await client.send(SEARCH, timedelta(milliseconds=50))

        assert asyncio.run(main()) == NotSent(timed_out=True)

    def test_an_answer_to_another_request_is_rejected(self, serve):
        other = AttemptRequest("b" * 24, "/search", 3, b'{"query": "none"}')
        results = send(serve(crossed=True), SEARCH, other)
        assert results[1] == Mismatched()

    def test_answers_carry_the_drain_signal(self, serve):
        address = serve(drain_quietly=True, health_lag=True)
        assert send(address, SEARCH)[0].draining

    def test_new_connections_work_after_old_ones_stop_responding(self, serve):
        address = serve()
        control = AttemptRequest("c" * 24, "/control", 0, b'{"silence": true}')

        async def main():
            client = SearcherClient(address, 4, SystemClock())
            await client.send(SEARCH, TIMEOUT)
            # The control call silences the connections that are open already,
            # except its own; it is therefore sent by a second client.
            other = SearcherClient(address, 1, SystemClock())
            await other.send(control, TIMEOUT)
            assert await client.send(SEARCH, TIMEOUT) == TimedOut()
            client.drop_connections()
            assert isinstance(await client.send(SEARCH, TIMEOUT), Answered)

        asyncio.run(main())

    def test_a_timed_out_request_closes_its_connection(self, serve):
        address = serve(service_ms=900.0)

        async def main():
            client = SearcherClient(address, 4, SystemClock())
            for _ in range(3):
                assert await client.send(SEARCH, TIMEOUT) == TimedOut()
            assert client.open_connections == 0

        asyncio.run(main())


class TestUnusableRetryAfter:
    @pytest.mark.parametrize("digits", [20, 5_000])
    def test_a_delay_that_no_duration_holds_is_replaced_by_the_usual_one(self, digits):
        headers = (
            (b"x-request-id", b"1"),
            (b"x-not-run", b"1"),
            (b"retry-after", b"9" * digits),
        )
        request = SimpleNamespace(request_id="1")
        result = _parse_response(request, HttpResponse(503, headers))
        assert result == Shed(DEFAULT_RETRY_AFTER, False)

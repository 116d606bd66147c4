"""Contract of the searchers' protocol, with faults in a table."""

import asyncio
import socket
import threading
from datetime import timedelta

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.searchers import (
    Answered,
    Broken,
    Mismatched,
    NotSent,
    SearcherClient,
    Shed,
    SubRequest,
    TimedOut,
    VersionGone,
)
from foxtailseam_bench._processes import free_ports
from foxtailseam_bench.searcher import (
    Record,
    SearcherBehaviour,
    SearcherSpec,
    serve_searchers,
)

TIMEOUT = timedelta(milliseconds=400)
RECORDS = [Record("r1", 1.0, "climber 1")]
SEARCH = SubRequest("a" * 24, "/search", 3, b'{"query": "climber"}')


def send(address, *requests):
    """Send requests one after the other through one client; return the outcomes."""

    async def main():
        client = SearcherClient(address, 4, SystemClock())
        outcomes = [await client.send(request, TIMEOUT) for request in requests]
        client.close()
        return outcomes

    return asyncio.run(main())


def wait_until_listening(address):
    """Wait for a searcher of any behaviour; one that drains is never ready."""
    host, _, port = address.rpartition(":")
    while True:
        try:
            socket.create_connection((host, int(port)), 1).close()
        except ConnectionRefusedError:
            continue
        return


@pytest.fixture
def serve():
    """Serve a searcher of a given behaviour from a thread."""
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
    def test_what_comes_of_a_request(self, serve, behaviour, expected):
        (attempt,) = send(serve(**behaviour), SEARCH)
        if expected is Answered:
            assert attempt.index_version == 3
            assert [hit.record for hit in attempt.hits] == ["r1"]
        assert isinstance(attempt, expected)

    def test_a_cut_connection_of_a_living_searcher_is_no_loss(self, serve):
        assert send(serve(cut="after"), SEARCH) == [Broken(lost=False)]

    def test_nobody_there(self):
        assert send(f"127.0.0.1:{free_ports(1)[0]}", SEARCH) == [NotSent()]

    def test_an_answer_to_another_request_is_not_taken(self, serve):
        other = SubRequest("b" * 24, "/search", 3, b'{"query": "none"}')
        outcomes = send(serve(crossed=True), SEARCH, other)
        assert outcomes[1] == Mismatched()

    def test_a_drain_signal_rides_on_answers(self, serve):
        address = serve(drain_quietly=True, health_lag=True)
        assert send(address, SEARCH)[0].draining

    def test_new_connections_work_after_silent_ones(self, serve):
        address = serve()
        control = SubRequest("c" * 24, "/control", 0, b'{"silence": true}')

        async def main():
            client = SearcherClient(address, 4, SystemClock())
            await client.send(SEARCH, TIMEOUT)
            # The connection that brings the control call stays; a second is open.
            other = SearcherClient(address, 1, SystemClock())
            await other.send(control, TIMEOUT)
            assert await client.send(SEARCH, TIMEOUT) == TimedOut()
            client.drop_connections()
            assert isinstance(await client.send(SEARCH, TIMEOUT), Answered)

        asyncio.run(main())

    def test_a_request_given_up_frees_its_connection(self, serve):
        address = serve(service_ms=900.0)

        async def main():
            client = SearcherClient(address, 4, SystemClock())
            for _ in range(3):
                assert await client.send(SEARCH, TIMEOUT) == TimedOut()
            assert client.open_connections == 0

        asyncio.run(main())

"""Tests of sub-requests against a searcher in the same event loop."""

import asyncio
import json

from foxtailseam.clocks import SystemClock
from foxtailseam.configuration import FamilyPolicy
from foxtailseam.metrics import Metrics
from foxtailseam.searchers import (
    BatchProgress,
    LeavingSearchers,
    SearcherController,
    ShardRequest,
    SubRequestDispatcher,
)
from foxtailseam.searchers._attempt_results import NotSent
from foxtailseam.searchers._latency import MIN_SAMPLES, REFRESH_INTERVAL
from foxtailseam.searchers._sender import MIN_RESPONSE_TIMEOUT
from foxtailseam.snapshots import Shard
from foxtailseam_bench.platform_stand_in import read_request, render

DEADLINE_SECONDS = 1.0
INDEX_VERSION = 3


class SilentRecorder:
    """Discards events."""

    def record(self, *_arguments, **_fields):
        """Do nothing."""


class StallingSearcher:
    """Answers searches at once, but leaves the next `silent` ones unanswered."""

    def __init__(self):
        self.silent = 0
        self.searches = 0

    async def handle_connection(self, reader, writer):
        try:
            while True:
                _, target, headers, _ = await read_request(reader)
                if target != "/search":
                    writer.write(render(200, {}, b""))
                    continue
                self.searches += 1
                if self.silent:
                    self.silent -= 1
                    await asyncio.sleep(2 * DEADLINE_SECONDS)
                identifier = headers["x-request-id"]
                body = {"request_id": identifier, "index_version": INDEX_VERSION}
                response_headers = {"X-Request-Id": identifier}
                writer.write(render(200, response_headers, json.dumps(body).encode()))
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            writer.close()


async def search(dispatcher, clock, address):
    request = ShardRequest(
        "a" * 24,
        "certificate-lookup",
        INDEX_VERSION,
        b"{}",
        Shard("certificate-lookup-00", (address,)),
        2,
        4,
        clock.monotonic() + DEADLINE_SECONDS,
        FamilyPolicy(retry_budget=0.5),
    )
    answer, _ = await dispatcher.search(request, BatchProgress(1))
    return answer


async def answers_after_stalls(stalls):
    """Return the answers to searches of which each meets a stalled request."""
    searcher = StallingSearcher()
    server = await asyncio.start_server(searcher.handle_connection, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    clock = SystemClock()
    recorder = SilentRecorder()
    leaving = LeavingSearchers(clock)
    controller = SearcherController(clock, recorder, leaving, lambda: None)
    dispatcher = SubRequestDispatcher(controller, clock, Metrics())
    for _ in range(MIN_SAMPLES):
        await search(dispatcher, clock, address)
    # Until then the quantiles are cached as unknown.
    await asyncio.sleep(REFRESH_INTERVAL.total_seconds())
    searcher.silent = stalls
    answer = await search(dispatcher, clock, address)
    dispatcher.close()
    server.close()
    return answer, searcher.searches - MIN_SAMPLES


async def answer_after_unopened_connections(count):
    """Return the answer to a search whose first connections do not open in time."""
    searcher = StallingSearcher()
    server = await asyncio.start_server(searcher.handle_connection, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    clock = SystemClock()
    leaving = LeavingSearchers(clock)
    controller = SearcherController(clock, SilentRecorder(), leaving, lambda: None)
    dispatcher = SubRequestDispatcher(controller, clock, Metrics())
    client = controller.get_or_create(address, 2, 4).client
    send = client.send
    unopened = [NotSent(timed_out=True)] * count

    async def send_after_unopened(request, timeout):
        if not unopened:
            return await send(request, timeout)
        await asyncio.sleep(MIN_RESPONSE_TIMEOUT.total_seconds())
        return unopened.pop()

    client.send = send_after_unopened
    answer = await search(dispatcher, clock, address)
    dispatcher.close()
    server.close()
    return answer


class TestOnlySearcherOfAShard:
    def test_it_is_asked_again_after_a_connection_that_did_not_open_in_time(self):
        answer = asyncio.run(answer_after_unopened_connections(1))
        assert answer.lack is None

    def test_it_is_left_alone_after_several_such_connections(self):
        answer = asyncio.run(answer_after_unopened_connections(100))
        assert answer.lack == "no-searcher"
        assert answer.attempts <= 6

    def test_it_is_asked_again_after_a_stall_while_time_is_left(self):
        answer, searches = asyncio.run(answers_after_stalls(1))
        assert answer.lack is None
        assert searches == 2

    def test_it_is_asked_only_as_often_as_the_retry_budget_allows(self):
        answer, searches = asyncio.run(answers_after_stalls(100))
        assert answer.lack == "deadline"
        assert 2 <= searches <= 6

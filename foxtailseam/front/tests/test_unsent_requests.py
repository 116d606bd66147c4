"""Tests that a request that was called not run is not sent afterwards."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxtailseam.dispatch.tests._stubs import StubPool
from foxtailseam.forwarding import Forwarded
from foxtailseam.front._peer_requests import to_failure
from foxtailseam.front._responses import ResponseBuilder
from foxtailseam.http import ExchangeFailure, FailureKind, HttpResponse, find_header
from foxtailseam.platform import parse_response_headers
from foxtailseam.reachability import LinkChange, LinkEvidence, LinkState
from foxtailseam_bench.simulation import SimulatedTier, VirtualTime
from foxtailseam_bench.simulation._peers import SimulatedPeers
from foxtailseam_bench.simulation._searcher import SimulatedSearcher

# Statuses that promise that the request has not run and will not run.
PROMISES = (408, 421, 429, 503)
NOT_EXECUTED = (b"Foxtailseam-Not-Executed", b"1")
TIMEOUT_MS = 1_000
LOST_LINKS = LinkEvidence(0, 6, True, False)


def make_route(name, kind, **destination):
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": TIMEOUT_MS,
        "latency_goal_ms": 400,
        "max_attempts": 2,
        "priority": 1,
        **destination,
    }


ROUTES = [
    make_route("book", "non_idempotent", service="a"),
    make_route("read", "idempotent", service="a"),
    make_route("all", "idempotent", gather=["a", "b"], top_k=1, min_version=1.0),
]


class OpeningDeployment:
    """Two hosts; a test opens the connections to their searchers."""

    def __init__(self, slots=4):
        self.time = VirtualTime()
        self.pools = []
        generator = random.Random(1)
        searchers = {
            name: [SimulatedSearcher(self.time, slots, 0.01, generator) for _ in "12"]
            for name in "ab"
        }
        self.tiers = [self._add_tier(searchers, number) for number in range(2)]
        self.peers = SimulatedPeers(self.time)
        self.peers.join([tier.front for tier in self.tiers], 1)
        self.wait(0.001)

    def _add_tier(self, searchers, number):
        tier = SimulatedTier(
            ROUTES, searchers, self.time, number, 2, configured_at=0.0, number=number
        )
        tier.dispatcher.open_pool = self._open_pool
        tier.dispatcher.read_answer = parse_response_headers
        return tier

    def _open_pool(self, address, limit):
        pool = StubPool()
        pool.is_opening = True
        pool.has_idle = False
        self.pools.append(pool)
        return pool

    @property
    def exchanges(self):
        return [exchange for pool in self.pools for exchange in pool.exchanges]

    @property
    def pending(self):
        return [exchange for exchange in self.exchanges if exchange.done is not None]

    def wait(self, seconds):
        self.time.run_until(self.time.monotonic() + seconds)

    def open_all(self):
        for exchange in self.exchanges:
            exchange.open()

    def lose_links(self, number, state=LinkState.ISOLATED):
        links = self.tiers[number].dispatcher.links
        links.on_change(LinkChange(state, LOST_LINKS, 0.5))

    def sent(self, call):
        """Return how often a request was sent to searchers."""
        identifier = find_header(call.request.headers, b"foxtailseam-request-id")
        payloads = [payload for pool in self.pools for payload in pool.payloads]
        return sum(identifier in payload for payload in payloads)


def expire(deployment, call):
    deployment.wait(TIMEOUT_MS / 1000)


def leave(deployment, call):
    call.on_disconnect()


def hand_over(deployment, call):
    deployment.lose_links(0)


def hand_over_and_refuse(deployment, call):
    deployment.peers.lost = {"host-1"}
    deployment.lose_links(0)
    deployment.wait(0.1)


def stop(deployment, call):
    deployment.tiers[0].front.abort_all()


class TestEndWhileConnectionOpens:
    @pytest.mark.parametrize("path", ["/book/1", "/read/1", "/all/1"])
    @pytest.mark.parametrize(
        "end", [expire, leave, hand_over, hand_over_and_refuse, stop]
    )
    def test_a_request_that_ended_unsent_is_not_sent_when_its_connection_opens(
        self, path, end
    ):
        deployment = OpeningDeployment()
        call = deployment.tiers[0].send(path, 2 * TIMEOUT_MS)
        first = deployment.exchanges
        assert first
        end(deployment, call)
        for exchange in first:
            exchange.open()
        assert not deployment.sent(call)
        if call.response is not None:
            assert call.response.status in PROMISES

    def test_a_hedge_is_not_sent_once_the_first_attempt_was_answered(self):
        deployment = OpeningDeployment()
        call = deployment.tiers[0].send("/read/1")
        (first,) = deployment.exchanges
        first.open()
        deployment.wait(0.35)
        assert len(deployment.exchanges) == 2
        first.answer(200, (b"Foxtailseam-Server-Stamp", b"1"))
        deployment.open_all()
        assert call.response.status == 200
        assert deployment.sent(call) == 1

    def test_a_retry_is_not_sent_after_the_deadline(self):
        deployment = OpeningDeployment()
        call = deployment.tiers[0].send("/book/1")
        (first,) = deployment.exchanges
        first.finish(ExchangeFailure(FailureKind.REFUSED, sent=False))
        assert len(deployment.exchanges) == 2
        deployment.wait(TIMEOUT_MS / 1000)
        deployment.open_all()
        assert call.response.status == 503
        assert not deployment.sent(call)

    def test_a_shard_that_was_not_asked_in_time_is_not_asked_afterwards(self):
        deployment = OpeningDeployment()
        call = deployment.tiers[0].send("/all/1")
        deployment.wait(0.3)
        deployment.exchanges[0].open()
        deployment.exchanges[0].finish(ExchangeFailure(FailureKind.RESET, True))
        deployment.wait(TIMEOUT_MS / 1000)
        sent = deployment.sent(call)
        deployment.open_all()
        assert call.response.status in (502, 504)
        assert deployment.sent(call) == sent


class TestStatusOfSearcher:
    # A request to both shards fails once one of them has answered twice.
    @pytest.mark.parametrize(
        ("path", "sent"), [("/book/1", 1), ("/read/1", 2), ("/all/1", 3)]
    )
    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_a_request_that_has_run_is_not_called_not_run(self, path, sent, status):
        deployment = OpeningDeployment()
        call = deployment.tiers[0].send(path)
        while call.response is None:
            deployment.open_all()
            deployment.pending[0].answer(status, (b"Foxtailseam-Server-Stamp", b"1"))
        assert call.response.status == 502
        stamp = find_header(call.response.headers, b"foxtailseam-server-stamp")
        assert stamp is None
        assert deployment.sent(call) == sent

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_a_request_that_was_rejected_is_refused_or_served_by_another(self, status):
        deployment = OpeningDeployment()
        call = deployment.tiers[0].send("/book/1")
        for rejects in (True, False):
            deployment.open_all()
            (exchange,) = deployment.pending
            if rejects:
                exchange.answer(status, NOT_EXECUTED)
        exchange.answer(200, (b"Foxtailseam-Server-Stamp", b"1"))
        assert call.response.status == 200

    @pytest.mark.parametrize("status", [408, 421, 429])
    def test_status_that_an_earlier_release_passes_on_is_not_called_not_run(
        self, status
    ):
        response = HttpResponse(status, ((b"Foxtailseam-Server-Stamp", b"1"),))
        failure = to_failure(Forwarded("host-1", response), may_have_run=False)
        assert ResponseBuilder(b"1").failed(failure).status == 502


class RandomEvents:
    """Draws what happens to requests, and remembers which may have run."""

    def __init__(self, data):
        self.data = data
        self.deployment = OpeningDeployment(slots=1)
        self.calls = []

    def run(self):
        events = [
            self.send,
            self.send,
            self.open,
            self.open,
            self.answer,
            self.answer,
            self.fail,
            self.leave,
            self.lose_links,
            self.stop,
            self.wait,
        ]
        for event in self.data.draw(
            st.lists(st.sampled_from(events), min_size=8, max_size=40)
        ):
            event()
            self.check()
        self.deployment.wait(3 * TIMEOUT_MS / 1000)
        self.check()
        self.deployment.open_all()
        self.check()

    def pick(self, items):
        return self.data.draw(st.sampled_from(items)) if items else None

    def send(self):
        tier = self.pick(self.deployment.tiers)
        path = self.pick(["/book/1", "/read/1", "/all/1"])
        self.calls.append(tier.send(path, self.pick([300, 2 * TIMEOUT_MS])))

    def open(self):
        exchange = self.pick(self.deployment.pending)
        if exchange is not None:
            exchange.open()

    def answer(self):
        sent = [item for item in self.deployment.pending if item.is_sent]
        exchange = self.pick(sent)
        if exchange is None:
            return
        status = self.pick([200, 404, 408, 421, 429, 500, 503])
        headers = [(b"Foxtailseam-Server-Stamp", b"1")]
        if self.pick([True, False]) and status != 200:
            headers.append(NOT_EXECUTED)
        if status == 421 or NOT_EXECUTED in headers:
            # It was not run, so it does not count as sent.
            exchange.pool.payloads.remove(exchange.payload_sent)
        exchange.answer(status, *headers)

    def fail(self):
        exchange = self.pick(self.deployment.pending)
        if exchange is not None:
            kind = FailureKind.RESET if exchange.is_sent else FailureKind.REFUSED
            exchange.finish(ExchangeFailure(kind, exchange.is_sent))

    def leave(self):
        call = self.pick([call for call in self.calls if call.response is None])
        if call is not None and call.on_disconnect is not None:
            call.on_disconnect()

    def lose_links(self):
        state = self.pick([LinkState.ISOLATED, LinkState.NO_NEW_CONNECTIONS])
        self.deployment.lose_links(self.pick([0, 1]), state)

    def stop(self):
        self.pick(self.deployment.tiers).front.abort_all()

    def wait(self):
        self.deployment.wait(self.pick([0.001, 0.05, 0.3, 1.0]))

    def check(self):
        for call in self.calls:
            may_have_run = self.deployment.sent(call)
            if call.path.startswith("/book/"):
                assert may_have_run <= 1
            if call.response is not None and call.response.status in PROMISES:
                assert not may_have_run


class TestAnyOrderOfEvents:
    @settings(max_examples=60, deadline=None)
    @given(st.data())
    def test_no_request_that_was_called_not_run_is_sent(self, data):
        RandomEvents(data).run()

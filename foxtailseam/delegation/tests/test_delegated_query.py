"""Tests of a delegated query, with a sender whose answers the test gives."""

import random

import pytest

from foxtailseam.delegation import (
    CoordinatorSelector,
    DelegatedQuery,
    Delegator,
    NotDelegated,
)
from foxtailseam.delegation._delegated_query import ACCEPT_SECONDS
from foxtailseam.forwarding import (
    Forwarded,
    ForwardedRequest,
    ForwardedResponse,
    PeerAnswered,
    PeerFailed,
    PeerHost,
    PeerSelector,
    Unavailability,
)
from foxtailseam_bench.simulation import VirtualTime

COORDINATOR = PeerHost("fast:1", "d1", 20_000)
OVERDUE_AT, DEADLINE_AT = 0.07, 0.6


class FakeSender:
    """Keeps what is sent; the test calls `on_accepted` and `done`."""

    def __init__(self):
        self.is_cancelled = False

    def delegate(self, address, request, attempts, on_accepted, done):
        self.address = address
        self.first_attempts = request.attempts
        self.attempts = attempts
        self.on_accepted = on_accepted
        self.done = done
        return self

    def cancel(self):
        self.is_cancelled = True


class Scenario:
    def __init__(self, attempts=2):
        self.time = VirtualTime()
        self.sender = FakeSender()
        self.results = []
        hosts = (COORDINATOR,)
        selector = PeerSelector(self.time, random.Random(1), "d1")
        self.coordinators = CoordinatorSelector(selector, 3_000, lambda: hosts)
        self.query = DelegatedQuery(
            Delegator(self.sender, self.coordinators, self.time, self.time),
            COORDINATOR,
            ForwardedRequest(
                "slow:1", "d1", b"GET", b"/q", (), b"", 0.0, 6.0, 1, attempts
            ),
            OVERDUE_AT,
            DEADLINE_AT,
            self.results.append,
        )
        self.query.start()

    @property
    def is_avoided(self):
        return self.coordinators.choose(90) is None


@pytest.fixture
def scenario():
    return Scenario()


class TestAnswers:
    def test_an_answer_is_passed_on(self, scenario):
        scenario.sender.on_accepted()
        scenario.sender.done(PeerAnswered(ForwardedResponse(200, (), b"records")))
        (result,) = scenario.results
        assert isinstance(result, Forwarded)
        assert result.response.body == b"records"
        scenario.time.run_until(1.0)
        assert len(scenario.results) == 1
        assert not scenario.is_avoided

    def test_a_refusal_of_the_coordinator_is_passed_on(self, scenario):
        scenario.sender.done(PeerAnswered(ForwardedResponse(503, (), b"")))
        (result,) = scenario.results
        assert result.is_refused

    def test_a_declined_query_keeps_the_attempts_that_were_not_used(self, scenario):
        response = ForwardedResponse(
            unavailable=Unavailability.ISOLATED, attempts_run=1
        )
        scenario.sender.on_accepted()
        scenario.sender.done(PeerAnswered(response))
        assert scenario.results == [NotDelegated(Unavailability.ISOLATED, 1, True)]
        assert scenario.is_avoided

    def test_a_busy_coordinator_has_run_nothing(self, scenario):
        response = ForwardedResponse(unavailable=Unavailability.BUSY)
        scenario.sender.done(PeerAnswered(response))
        assert scenario.results == [NotDelegated(Unavailability.BUSY, 2, False)]


class TestAttempts:
    def test_one_is_kept_until_the_coordinator_has_the_query(self, scenario):
        assert scenario.sender.first_attempts == 1
        assert scenario.sender.attempts == 2

    def test_a_single_one_is_not_kept(self):
        scenario = Scenario(attempts=1)
        assert scenario.sender.first_attempts == 1
        scenario.time.run_until(ACCEPT_SECONDS)
        assert scenario.results == [NotDelegated(Unavailability.LOST, 0, True)]

    def test_none_is_left_once_the_coordinator_may_use_all(self, scenario):
        scenario.sender.on_accepted()
        scenario.sender.done(PeerFailed(Unavailability.LOST, sent=True))
        assert scenario.results == [NotDelegated(Unavailability.LOST, 0, True)]

    def test_all_are_left_if_nothing_was_sent(self, scenario):
        scenario.sender.done(PeerFailed(Unavailability.UNREACHABLE, sent=False))
        assert scenario.results == [NotDelegated(Unavailability.UNREACHABLE, 2, False)]


class TestSilence:
    def test_a_query_that_is_not_accepted_comes_back_soon(self, scenario):
        scenario.time.run_until(ACCEPT_SECONDS)
        assert scenario.results == [NotDelegated(Unavailability.LOST, 1, True)]
        assert scenario.sender.is_cancelled
        assert scenario.is_avoided

    def test_an_accepted_query_is_awaited_until_its_deadline(self, scenario):
        scenario.sender.on_accepted()
        scenario.time.run_until(OVERDUE_AT)
        assert not scenario.results
        assert scenario.is_avoided
        scenario.time.run_until(DEADLINE_AT)
        assert scenario.results == [NotDelegated(Unavailability.LOST, 0, True)]
        assert scenario.sender.is_cancelled


class TestCancellation:
    def test_the_coordinator_is_told(self, scenario):
        scenario.query.cancel()
        assert scenario.sender.is_cancelled
        scenario.time.run_until(1.0)
        assert not scenario.results

"""Tests of the choice of hosts and of the order in which they are asked."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.forwarding import (
    Forward,
    Forwarded,
    ForwardedRequest,
    ForwardedResponse,
    Forwarder,
    NotForwarded,
    PeerAnswered,
    PeerFailed,
    PeerHost,
    PeerSelector,
    Unavailability,
)
from foxtailseam.forwarding._forward import MAX_HOSTS_ASKED, MAX_REFUSALS
from foxtailseam_bench.simulation import VirtualTime

HOSTS = [PeerHost(f"host-{number}", f"d{number % 3 + 1}") for number in range(1, 9)]
REQUEST = ForwardedRequest(
    "host-0", "d1", b"GET", b"/all/q", (), b"", 2.0, 6.0, 3, attempts=2
)
ISOLATED = PeerAnswered(ForwardedResponse(unavailable=Unavailability.ISOLATED))
REFUSED = PeerAnswered(ForwardedResponse(status=503))
SERVED = PeerAnswered(ForwardedResponse(status=200, body=b"records"))


class Pending:
    """A request at a host that has not answered yet."""

    def __init__(self, address, request, done):
        self.address = address
        self.request = request
        self.done = done
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class Sender:
    """Keeps the requests; a test answers them."""

    def __init__(self):
        self.sent = []

    def send(self, address, request, done):
        self.sent.append(Pending(address, request, done))
        return self.sent[-1]

    def answer(self, result):
        self.sent[-1].done(result)


@pytest.fixture
def time():
    return VirtualTime()


@pytest.fixture
def sender():
    return Sender()


@pytest.fixture
def selector(time):
    return PeerSelector(time, random.Random(1), "d1")


@pytest.fixture
def results():
    return []


@pytest.fixture
def forward(time, sender, selector, results):
    forwarder = Forwarder(sender, selector, lambda: HOSTS, time, time)
    forward = Forward(forwarder, REQUEST, 0.2, 1.0, results.append, True)
    forward.start()
    return forward


class TestPeerSelector:
    def test_hosts_of_the_own_domain_come_first(self, selector):
        assert selector.choose(HOSTS, ()).failure_domain == "d1"

    def test_other_domains_come_first_once_a_near_host_is_cut(self, selector):
        near = [host for host in HOSTS if host.failure_domain == "d1"]
        selector.avoid(near[0], Unavailability.ISOLATED)
        chosen = {selector.choose(HOSTS, ()).failure_domain for _ in range(50)}
        assert {"d2", "d3"} <= chosen

    def test_a_host_that_could_not_help_is_avoided_for_a_while(self, time, selector):
        selector.avoid(HOSTS[0], Unavailability.BUSY)
        assert selector.choose(HOSTS[:1], ()) is None
        assert selector.wait() > 0
        time.run_until(1.0)
        assert selector.choose(HOSTS[:1], ()) == HOSTS[0]

    def test_hosts_that_have_helped_are_preferred_after_a_failed_try(
        self, time, selector
    ):
        selector.record_help(["host-5"])
        assert selector.choose(HOSTS, {"host-3"}).address == "host-5"
        assert selector.helpers == ("host-5",)
        time.run_until(10.0)
        assert not selector.helpers

    def test_a_host_that_reaches_no_other_asks_none_for_a_while(self, time, selector):
        for host in HOSTS[:2]:
            selector.avoid(host, Unavailability.UNREACHABLE)
        assert selector.choose(HOSTS, ()) is None
        assert selector.wait() > 0
        time.run_until(0.6)
        assert selector.choose(HOSTS, ()) is not None

    def test_requests_are_spread_over_the_hosts(self, selector):
        far = [host for host in HOSTS if host.failure_domain != "d1"]
        counts = dict.fromkeys((host.address for host in far), 0)
        for _ in range(10 * len(far)):
            host = selector.choose(far, ())
            selector.begin(host)
            counts[host.address] += 1
        assert max(counts.values()) <= 14


class TestForward:
    def test_the_first_answer_is_the_result(self, forward, sender, results):
        sender.answer(SERVED)
        assert isinstance(results[0], Forwarded)
        assert results[0].response.body == b"records"

    def test_hosts_that_are_cut_too_are_followed_by_others(
        self, time, forward, sender, results
    ):
        time.run_until(0.003)
        sender.answer(ISOLATED)
        sender.answer(PeerFailed(Unavailability.UNREACHABLE, sent=False))
        sender.answer(SERVED)
        assert len({pending.address for pending in sender.sent}) == 3
        assert isinstance(results[0], Forwarded)
        # The time that passed before counts for the host that serves.
        assert sender.sent[-1].request.elapsed_ms == pytest.approx(5.0)

    def test_a_host_that_gives_a_request_back_is_followed_with_fewer_attempts(
        self, forward, sender, results
    ):
        helper = HOSTS[-1].address
        sender.answer(
            PeerAnswered(
                ForwardedResponse(
                    unavailable=Unavailability.ISOLATED,
                    attempts_run=1,
                    helpers=(helper,),
                )
            )
        )
        assert sender.sent[-1].address == helper
        assert sender.sent[-1].request.attempts == REQUEST.attempts - 1
        sender.answer(
            PeerAnswered(
                ForwardedResponse(unavailable=Unavailability.ISOLATED, attempts_run=1)
            )
        )
        assert results[0].may_have_run

    def test_a_request_that_may_have_run_is_not_called_not_run(
        self, forward, sender, results
    ):
        sender.answer(
            PeerAnswered(
                ForwardedResponse(unavailable=Unavailability.ISOLATED, attempts_run=1)
            )
        )
        while not results:
            sender.answer(ISOLATED)
        assert results[0].may_have_run

    def test_a_request_that_a_lost_host_may_have_run_is_not_sent_again(
        self, forward, sender, results
    ):
        sender.answer(PeerFailed(Unavailability.LOST, sent=True))
        assert len(sender.sent) == 1
        assert isinstance(results[0], NotForwarded)
        assert results[0].may_have_run

    def test_a_request_that_no_host_serves_was_not_run(self, forward, sender, results):
        while not results:
            sender.answer(ISOLATED)
        assert len(sender.sent) == MAX_HOSTS_ASKED
        assert not results[0].may_have_run
        assert results[0].retry_after.total_seconds() > 0

    def test_few_hosts_are_asked_when_they_refuse_for_their_load(
        self, forward, sender, results
    ):
        while not results:
            sender.answer(REFUSED)
        assert len(sender.sent) == MAX_REFUSALS
        assert results[0].response.status == 503

    def test_a_caller_that_leaves_cancels_the_request_at_the_host(
        self, time, forward, sender, results
    ):
        forward.cancel()
        time.run_until(2.0)
        assert sender.sent[0].is_cancelled
        assert not results

    def test_an_idempotent_request_does_not_wait_for_a_silent_host_to_its_deadline(
        self, time, forward, sender, results
    ):
        time.run_until(0.5)
        assert len({pending.address for pending in sender.sent}) == 2
        # The silent host may have asked a searcher of each service.
        assert sender.sent[-1].request.attempts == REQUEST.attempts - 1
        sender.answer(SERVED)
        assert isinstance(results[0], Forwarded)

    def test_a_silent_host_ends_the_request_at_its_deadline(
        self, time, selector, forward, sender, results
    ):
        time.run_until(0.3)
        asked = [host for host in HOSTS if host.address == sender.sent[0].address]
        assert selector.choose(asked, ()) is None
        time.run_until(1.1)
        assert results[0].may_have_run
        assert sender.sent[0].is_cancelled

    def test_a_request_that_may_not_run_twice_goes_to_no_second_host(
        self, time, sender, selector, results
    ):
        forwarder = Forwarder(sender, selector, lambda: HOSTS, time, time)
        Forward(forwarder, REQUEST, 0.2, 1.0, results.append, False).start()
        time.run_until(0.9)
        assert [item.request.attempts for item in sender.sent] == [REQUEST.attempts]

    def test_a_host_that_has_just_answered_gets_all_attempts(
        self, time, selector, forward, sender, results
    ):
        assert sender.sent[0].request.attempts == REQUEST.attempts - 1
        for host in HOSTS:
            selector.record_answer(host)
        forwarder = Forwarder(sender, selector, lambda: HOSTS, time, time)
        Forward(forwarder, REQUEST, 0.2, 1.0, results.append, True).start()
        assert sender.sent[1].request.attempts == REQUEST.attempts
        assert len(sender.sent) == 2

    def test_no_second_host_is_asked_without_budget(
        self, time, sender, selector, results
    ):
        forwarder = Forwarder(sender, selector, lambda: HOSTS, time, time)
        Forward(
            forwarder, REQUEST, 0.2, 1.0, results.append, True, lambda: False
        ).start()
        time.run_until(0.9)
        assert len(sender.sent) == 1

    def test_the_answer_of_the_first_host_wins_if_it_comes_first(
        self, time, forward, sender, results
    ):
        time.run_until(0.5)
        sender.sent[0].done(SERVED)
        assert isinstance(results[0], Forwarded)
        assert sender.sent[1].is_cancelled

    def test_a_refusal_after_a_lost_host_is_not_passed_on(
        self, time, forward, sender, results
    ):
        time.run_until(0.5)
        sender.sent[0].done(PeerFailed(Unavailability.LOST, sent=True))
        while not results:
            sender.answer(REFUSED)
        assert results[0].may_have_run


def declined(attempts_run):
    return PeerAnswered(
        ForwardedResponse(
            unavailable=Unavailability.ISOLATED, attempts_run=attempts_run
        )
    )


class TestAnyResults:
    @given(
        st.integers(1, 3),
        st.booleans(),
        st.lists(
            st.tuples(
                st.sampled_from(["served", "refused", "unsent", "lost", "declined"]),
                st.integers(0, 2),
                st.floats(0.0, 0.3),
            ),
            max_size=12,
        ),
    )
    def test_attempts_add_up_and_no_host_that_may_have_run_is_denied(
        self, attempts, is_idempotent, events
    ):
        time, sender, results = VirtualTime(), Sender(), []
        selector = PeerSelector(time, random.Random(1), "d1")
        forwarder = Forwarder(sender, selector, lambda: HOSTS, time, time)
        request = replace(REQUEST, attempts=attempts)
        Forward(forwarder, request, 0.2, 1.0, results.append, is_idempotent).start()
        used = {}
        for kind, number, seconds in events:
            time.run_until(time.monotonic() + seconds)
            waiting = [item for item in sender.sent if item not in used]
            if results or not waiting:
                break
            item = waiting[number % len(waiting)]
            run = min(number, item.request.attempts)
            used[item] = {"unsent": 0, "refused": 0, "declined": run}.get(kind, 9)
            result = {
                "served": SERVED,
                "refused": REFUSED,
                "unsent": PeerFailed(Unavailability.UNREACHABLE, sent=False),
                "lost": PeerFailed(Unavailability.LOST, sent=True),
                "declined": declined(run),
            }[kind]
            item.done(result)
            given = [
                min(item.request.attempts, used.get(item, 9)) for item in sender.sent
            ]
            assert sum(given) <= attempts
            if not is_idempotent:
                assert sum(1 for count in given if count) <= 1
        time.run_until(2.0)
        assert len(results) == 1
        may_have_run = any(used.get(item, 9) for item in sender.sent)
        match results[0]:
            case NotForwarded(may_have_run=said):
                assert said == may_have_run
            case Forwarded(is_refused=True):
                assert not may_have_run

"""Tests of the monitor of this host's links to the searchers."""

import random

import pytest

from foxtailseam.reachability import (
    MIN_FAILING_SEARCHERS,
    ContactTracker,
    LinkEvidence,
    LinkMonitor,
    LinkState,
    judge_links,
)
from foxtailseam_bench.simulation import VirtualTime

SEARCHERS = 10


class Target:
    """A searcher that accepts or refuses connections, at once or by silence."""

    def __init__(self, time, number):
        self.time = time
        self.identifier = f"i-{number}"
        self.accepts = True
        self.is_silent = False
        self.attempts = 0

    def connect(self, timeout, done):
        self.attempts += 1
        delay = timeout if self.is_silent else 0.002
        accepts = self.accepts and not self.is_silent
        self.time.call_later(delay, done, accepts)


class Deployment:
    """A monitor with searchers whose connections a test can cut."""

    def __init__(self):
        self.time = VirtualTime()
        self.contacts = ContactTracker(self.time)
        self.targets = [Target(self.time, number) for number in range(SEARCHERS)]
        generator = random.Random(1)
        self.monitor = LinkMonitor(
            self.time,
            self.time,
            generator,
            self.contacts,
            lambda count: generator.sample(self.targets, min(count, len(self.targets))),
        )
        self.changes = []
        self.monitor.on_change = self.changes.append

    @property
    def attempts(self):
        return sum(target.attempts for target in self.targets)

    def set_cut(self, is_cut):
        for target in self.targets:
            target.is_silent = is_cut

    def fail(self, count=MIN_FAILING_SEARCHERS):
        for number in range(count):
            self.contacts.record_silence(f"i-{number}")

    def run(self, seconds):
        self.time.run_until(self.time.monotonic() + seconds)


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.run(0.5)
    return deployment


class TestJudgeLinks:
    @pytest.mark.parametrize(
        ("state", "accepted", "is_silent", "responds", "expected"),
        [
            (LinkState.CONNECTED, 1, True, False, LinkState.CONNECTED),
            (LinkState.CONNECTED, 0, True, False, LinkState.ISOLATED),
            (LinkState.CONNECTED, 0, False, False, LinkState.ISOLATED),
            (LinkState.CONNECTED, 0, False, True, LinkState.NO_NEW_CONNECTIONS),
            (LinkState.NO_NEW_CONNECTIONS, 0, True, True, LinkState.ISOLATED),
            (LinkState.ISOLATED, 1, False, False, LinkState.ISOLATED),
            (LinkState.ISOLATED, 2, False, False, LinkState.CONNECTED),
        ],
    )
    def test_connections_and_responses_decide(
        self, state, accepted, is_silent, responds, expected
    ):
        evidence = LinkEvidence(accepted, 6, is_silent, responds)
        assert judge_links(state, evidence) is expected


class TestLinkMonitor:
    def test_silent_searchers_that_accept_connections_are_at_fault(self, deployment):
        deployment.fail()
        assert deployment.monitor.is_suspect
        deployment.run(0.2)
        assert deployment.monitor.is_connected
        assert not deployment.changes

    def test_a_crash_of_most_searchers_is_not_taken_for_lost_links(self, deployment):
        for target in deployment.targets[:7]:
            target.accepts = False
        for _ in range(20):
            deployment.fail(7)
            deployment.run(0.3)
        assert deployment.monitor.is_connected

    def test_lost_links_are_known_within_the_timeout_of_a_round(self, deployment):
        deployment.set_cut(True)
        deployment.fail()
        deployment.run(0.16)
        assert deployment.monitor.state is LinkState.ISOLATED

    def test_too_few_failures_cause_no_connection_attempts(self, deployment):
        deployment.contacts.record_response(deployment.time.monotonic())
        deployment.fail(MIN_FAILING_SEARCHERS - 1)
        deployment.run(0.2)
        assert deployment.attempts == 0

    def test_one_silent_searcher_is_enough_for_a_host_with_few_requests(
        self, deployment
    ):
        deployment.fail(1)
        deployment.run(0.2)
        assert deployment.attempts == 1
        assert deployment.monitor.is_connected
        deployment.set_cut(True)
        deployment.run(0.5)
        deployment.fail(1)
        deployment.run(0.35)
        assert deployment.monitor.state is LinkState.ISOLATED

    def test_a_host_without_requests_finds_out_by_itself(self, deployment):
        deployment.set_cut(True)
        for _ in range(16):
            deployment.run(0.25)
            deployment.monitor.check_idle()
        assert deployment.monitor.state is LinkState.ISOLATED

    def test_a_host_without_requests_makes_few_attempts(self, deployment):
        for _ in range(240):
            deployment.run(0.25)
            deployment.monitor.check_idle()
        assert deployment.monitor.is_connected
        # One for each interval of 0.5 to 1.5 s in 60 s, checked each 0.25 s.
        assert 60 / 1.75 <= deployment.attempts <= 60 / 0.5

    def test_responses_on_open_connections_show_that_these_still_work(self, deployment):
        for target in deployment.targets:
            target.accepts = False
        for number in range(MIN_FAILING_SEARCHERS):
            deployment.contacts.record_connect_failure(f"i-{number}")
        deployment.run(0.05)
        deployment.contacts.record_response(deployment.time.monotonic())
        deployment.run(0.15)
        assert deployment.monitor.state is LinkState.NO_NEW_CONNECTIONS

    def test_the_links_are_used_again_soon_after_they_return(self, deployment):
        deployment.set_cut(True)
        deployment.fail()
        deployment.run(5.0)
        deployment.set_cut(False)
        deployment.run(0.7)
        assert deployment.monitor.is_connected

    def test_the_links_are_used_again_after_no_searcher_was_known(self, deployment):
        deployment.set_cut(True)
        deployment.fail()
        deployment.run(1.0)
        targets, deployment.targets[:] = list(deployment.targets), []
        deployment.run(2.0)
        deployment.targets[:] = targets
        deployment.set_cut(False)
        deployment.run(1.0)
        assert deployment.monitor.is_connected

    def test_links_that_come_and_go_are_used_again_later_each_time(self, deployment):
        waits = []
        for _ in range(3):
            deployment.set_cut(True)
            deployment.fail()
            deployment.run(1.0)
            assert not deployment.monitor.is_connected
            deployment.set_cut(False)
            returned_at = deployment.time.monotonic()
            while not deployment.monitor.is_connected:
                deployment.run(0.05)
            waits.append(deployment.time.monotonic() - returned_at)
            deployment.run(0.5)
        assert waits[2] > waits[0]

    def test_a_moment_is_confirmed_only_by_a_later_contact(self, deployment):
        answers = []
        lost_at = deployment.time.monotonic()
        deployment.run(0.01)
        deployment.contacts.record_response(deployment.time.monotonic())
        deployment.monitor.confirm(lost_at, answers.append)
        assert answers == [True]
        deployment.set_cut(True)
        deployment.monitor.confirm(deployment.time.monotonic(), answers.append)
        deployment.run(0.2)
        assert answers == [True, False]


class TestUnforeseenFailures:
    def test_a_host_whose_change_of_links_is_handled_badly_still_returns(
        self, deployment
    ):
        changes = deployment.changes

        def record_and_fail(change):
            changes.append(change.state)
            raise ValueError("brought about by the test")

        deployment.monitor.on_change = record_and_fail
        deployment.set_cut(True)
        deployment.fail()
        with pytest.raises(ValueError, match="brought about"):
            deployment.run(3.0)
        deployment.set_cut(False)
        with pytest.raises(ValueError, match="brought about"):
            deployment.run(10.0)
        assert changes == [LinkState.ISOLATED, LinkState.CONNECTED]
        assert deployment.monitor.is_connected

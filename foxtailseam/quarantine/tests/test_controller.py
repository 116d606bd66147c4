"""Tests of suspicion and quarantine."""

from datetime import timedelta

import pytest

from foxtailseam.clocks import HybridClock, ManualClock
from foxtailseam.quarantine import QuarantineController, SuspicionState, fingerprint_of

QUARANTINE = timedelta(minutes=5)
QUERY = fingerprint_of("family", "query")


@pytest.fixture
def clock():
    return ManualClock()


def new_controller(clock):
    return QuarantineController(clock, HybridClock(clock))


class TestQuarantineController:
    def test_one_loss_makes_a_suspect(self, clock):
        controller = new_controller(clock)
        assert controller.record_loss(QUERY, QUARANTINE, alone=False)
        assert controller.state(QUERY) is SuspicionState.SUSPECT

    def test_losses_close_together_count_as_one(self, clock):
        controller = new_controller(clock)
        for _ in range(5):
            controller.record_loss(QUERY, QUARANTINE, alone=False)
            clock.advance(timedelta(milliseconds=100))
        assert controller.state(QUERY) is SuspicionState.SUSPECT

    def test_a_second_separate_loss_condemns(self, clock):
        controller = new_controller(clock)
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        clock.advance(timedelta(seconds=1))
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        assert controller.state(QUERY) is SuspicionState.QUARANTINED
        assert controller.remaining(QUERY) == QUARANTINE

    def test_two_losses_alone_condemn_at_once(self, clock):
        controller = new_controller(clock)
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        controller.record_loss(QUERY, QUARANTINE, alone=True)
        assert controller.state(QUERY) is SuspicionState.SUSPECT
        controller.record_loss(QUERY, QUARANTINE, alone=True)
        assert controller.state(QUERY) is SuspicionState.QUARANTINED

    def test_two_losses_alone_count_together_over_processes(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        second.merge(first.notices())
        first.record_loss(QUERY, QUARANTINE, alone=True)
        clock.advance(timedelta(milliseconds=5))
        second.merge(first.notices())
        second.record_loss(QUERY, QUARANTINE, alone=True)
        assert second.state(QUERY) is SuspicionState.QUARANTINED
        (news,) = first.merge(second.notices())
        assert news.state is SuspicionState.QUARANTINED

    def test_a_peers_suspicion_is_news_once(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        assert len(second.merge(first.notices())) == 1
        assert second.merge(first.notices()) == ()

    def test_notices_are_few_and_the_quarantined_come_first(self, clock):
        controller = new_controller(clock)
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        clock.advance(timedelta(seconds=1))
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        for number in range(500):
            other = fingerprint_of("family", str(number))
            controller.record_loss(other, QUARANTINE, alone=False)
        notices = controller.notices()
        assert len(notices) == 64
        assert notices[0].fingerprint == QUERY

    def test_surviving_alone_clears_in_every_process(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        second.merge(first.notices())
        clock.advance(timedelta(milliseconds=5))
        assert second.record_survival(QUERY)
        # The peer's older suspicion does not come back.
        second.merge(first.notices())
        assert second.state(QUERY) is SuspicionState.CLEAR
        first.merge(second.notices())
        assert first.state(QUERY) is SuspicionState.CLEAR

    def test_a_clearing_elsewhere_does_not_lift_a_quarantine(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        second.merge(first.notices())
        clock.advance(timedelta(seconds=2))
        first.record_loss(QUERY, QUARANTINE, alone=False)
        second.record_survival(QUERY)
        first.merge(second.notices())
        assert first.state(QUERY) is SuspicionState.QUARANTINED
        second.merge(first.notices())
        assert second.state(QUERY) is SuspicionState.QUARANTINED

    def test_quarantine_ends_in_suspicion_and_that_in_nothing(self, clock):
        controller = new_controller(clock)
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        clock.advance(timedelta(seconds=1))
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        clock.advance(QUARANTINE)
        assert controller.state(QUERY) is SuspicionState.SUSPECT
        clock.advance(timedelta(minutes=10))
        assert controller.state(QUERY) is SuspicionState.CLEAR

    def test_two_processes_do_not_renew_each_others_suspicion(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        for _ in range(25):
            second.merge(first.notices())
            first.merge(second.notices())
            clock.advance(timedelta(minutes=1))
        assert first.state(QUERY) is SuspicionState.CLEAR
        assert second.state(QUERY) is SuspicionState.CLEAR

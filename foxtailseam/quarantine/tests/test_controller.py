"""Tests of the detection and quarantine of requests that crash searchers."""

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
    def test_first_loss_makes_a_suspect(self, clock):
        controller = new_controller(clock)
        assert controller.record_loss(QUERY, QUARANTINE, alone=False)
        assert controller.state(QUERY) is SuspicionState.SUSPECT

    def test_losses_in_quick_succession_count_as_one(self, clock):
        controller = new_controller(clock)
        for _ in range(5):
            controller.record_loss(QUERY, QUARANTINE, alone=False)
            clock.advance(timedelta(milliseconds=100))
        assert controller.state(QUERY) is SuspicionState.SUSPECT

    def test_second_separate_loss_quarantines(self, clock):
        controller = new_controller(clock)
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        clock.advance(timedelta(seconds=1))
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        assert controller.state(QUERY) is SuspicionState.QUARANTINED
        assert controller.remaining(QUERY) == QUARANTINE

    def test_two_losses_alone_quarantine_at_once(self, clock):
        controller = new_controller(clock)
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        controller.record_loss(QUERY, QUARANTINE, alone=True)
        assert controller.state(QUERY) is SuspicionState.SUSPECT
        controller.record_loss(QUERY, QUARANTINE, alone=True)
        assert controller.state(QUERY) is SuspicionState.QUARANTINED

    def test_losses_alone_add_up_across_processes(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        second.merge(first.notices())
        first.record_loss(QUERY, QUARANTINE, alone=True)
        clock.advance(timedelta(milliseconds=5))
        second.merge(first.notices())
        second.record_loss(QUERY, QUARANTINE, alone=True)
        assert second.state(QUERY) is SuspicionState.QUARANTINED
        (changed,) = first.merge(second.notices())
        assert changed.state is SuspicionState.QUARANTINED

    def test_suspicion_of_a_peer_changes_a_record_only_once(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        assert len(second.merge(first.notices())) == 1
        assert second.merge(first.notices()) == ()

    def test_notices_are_bounded_and_list_quarantined_requests_first(self, clock):
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

    def test_survival_alone_clears_in_every_process(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        second.merge(first.notices())
        clock.advance(timedelta(milliseconds=5))
        assert second.record_survival(QUERY)
        # An older suspicion from the peer must not override the clearance.
        second.merge(first.notices())
        assert second.state(QUERY) is SuspicionState.CLEAR
        first.merge(second.notices())
        assert first.state(QUERY) is SuspicionState.CLEAR

    def test_clearance_by_a_peer_does_not_lift_a_quarantine(self, clock):
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

    def test_quarantine_expires_to_suspect_and_suspect_to_clear(self, clock):
        controller = new_controller(clock)
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        clock.advance(timedelta(seconds=1))
        controller.record_loss(QUERY, QUARANTINE, alone=False)
        clock.advance(QUARANTINE)
        assert controller.state(QUERY) is SuspicionState.SUSPECT
        clock.advance(timedelta(minutes=10))
        assert controller.state(QUERY) is SuspicionState.CLEAR

    def test_processes_do_not_renew_each_others_suspicion(self, clock):
        first, second = new_controller(clock), new_controller(clock)
        first.record_loss(QUERY, QUARANTINE, alone=False)
        for _ in range(25):
            second.merge(first.notices())
            first.merge(second.notices())
            clock.advance(timedelta(minutes=1))
        assert first.state(QUERY) is SuspicionState.CLEAR
        assert second.state(QUERY) is SuspicionState.CLEAR

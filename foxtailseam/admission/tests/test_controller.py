"""Tests of admission control."""

from datetime import timedelta

import pytest

from foxtailseam.admission import AdmissionController
from foxtailseam.clocks import ManualClock

DEADLINE = timedelta(milliseconds=120)
NO_DELAY = timedelta()


def release(controller, shed):
    controller.release("f", 100, NO_DELAY, DEADLINE, shed)


class TestAdmissionController:
    def test_enforces_the_configured_limit(self):
        controller = AdmissionController(ManualClock(), 0.1)
        assert [controller.admit("f", 3) for _ in range(4)] == [True] * 3 + [False]

    @pytest.mark.parametrize(
        ("delays", "is_admitted"),
        [
            ([NO_DELAY, NO_DELAY], True),
            ([DEADLINE, NO_DELAY], True),
            ([NO_DELAY, DEADLINE], True),
            ([DEADLINE, DEADLINE / 2], False),
        ],
    )
    def test_standing_queue_lowers_the_limit_but_a_burst_does_not(
        self, delays, is_admitted
    ):
        clock = ManualClock()
        controller = AdmissionController(clock, 0.1)
        for _ in range(10):
            controller.admit("f", 100)
        for delay in delays:
            clock.advance(timedelta(milliseconds=60))
            controller.release("f", 100, delay, DEADLINE, False)
        assert controller.admit("f", 100) is is_admitted

    def test_shed_request_counts_as_delayed_by_the_whole_deadline(self):
        clock = ManualClock()
        controller = AdmissionController(clock, 0.1)
        for _ in range(10):
            controller.admit("f", 100)
        clock.advance(timedelta(milliseconds=100))
        release(controller, shed=True)
        assert not controller.admit("f", 100)

    def test_limit_recovers_when_the_load_falls(self):
        clock = ManualClock()
        controller = AdmissionController(clock, 0.1)
        for _ in range(10):
            controller.admit("f", 100)
            clock.advance(timedelta(seconds=1))
            release(controller, shed=True)
        for _ in range(400):
            admitted = sum(controller.admit("f", 100) for _ in range(30))
            for _ in range(admitted):
                release(controller, shed=False)
        assert sum(controller.admit("f", 100) for _ in range(30)) == 30

    def test_families_are_independent(self):
        controller = AdmissionController(ManualClock(), 0.1)
        controller.admit("f", 1)
        assert controller.admit("g", 1)

    @pytest.mark.parametrize(("sheds", "is_admitted"), [(1, True), (5, False)])
    def test_share_of_sheds_lowers_the_limit_without_queueing(self, sheds, is_admitted):
        clock = ManualClock()
        controller = AdmissionController(clock, 0.1, max_shed_share=0.2)
        for _ in range(20):
            controller.admit("f", 100)
        clock.advance(timedelta(milliseconds=50))
        for number in range(9):
            release(controller, shed=number < sheds)
        clock.advance(timedelta(milliseconds=60))
        release(controller, shed=False)
        assert controller.admit("f", 100) is is_admitted

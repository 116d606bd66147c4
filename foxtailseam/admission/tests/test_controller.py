"""Tests of admission."""

from datetime import timedelta

from foxtailseam.admission import AdmissionController
from foxtailseam.clocks import ManualClock

DEADLINE = timedelta(milliseconds=120)
NO_DELAY = timedelta()


def end(controller, shed):
    controller.ended("f", 100, NO_DELAY, DEADLINE, shed)


class TestAdmissionController:
    def test_the_limit_of_the_rules_holds(self):
        controller = AdmissionController(ManualClock(), 0.1)
        assert [controller.admit("f", 3) for _ in range(4)] == [True] * 3 + [False]

    def test_sheds_lower_the_limit_from_what_is_in_use(self):
        controller = AdmissionController(ManualClock(), 0.1)
        for _ in range(10):
            controller.admit("f", 100)
        end(controller, shed=True)
        assert not controller.admit("f", 100)

    def test_a_long_queue_lowers_the_limit(self):
        controller = AdmissionController(ManualClock(), 0.1)
        for _ in range(10):
            controller.admit("f", 100)
        controller.ended("f", 100, DEADLINE / 2, DEADLINE, False)
        assert not controller.admit("f", 100)

    def test_the_limit_recovers_when_the_load_falls(self):
        clock = ManualClock()
        controller = AdmissionController(clock, 0.1)
        for _ in range(10):
            controller.admit("f", 100)
            clock.advance(timedelta(seconds=1))
            end(controller, shed=True)
        for _ in range(400):
            admitted = sum(controller.admit("f", 100) for _ in range(30))
            for _ in range(admitted):
                end(controller, shed=False)
        assert sum(controller.admit("f", 100) for _ in range(30)) == 30

    def test_other_families_are_not_affected(self):
        controller = AdmissionController(ManualClock(), 0.1)
        controller.admit("f", 1)
        assert controller.admit("g", 1)

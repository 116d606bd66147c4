"""Tests of clocks."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import HybridClock, HybridTimestamp, ManualClock, PauseDetector


class TestHybridClock:
    def test_later_events_have_later_stamps_within_a_millisecond(self):
        hybrid = HybridClock(ManualClock())
        stamps = [hybrid.tick() for _ in range(5)]
        assert stamps == sorted(set(stamps))

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(-500, 500))))
    def test_effect_comes_after_cause_though_clocks_differ(self, steps):
        clocks = [ManualClock() for _ in range(3)]
        clocks[1].advance(timedelta(hours=-1))
        nodes = [HybridClock(clock) for clock in clocks]
        last = HybridTimestamp(0, 0)
        for at, shift in steps:
            clocks[at].advance(timedelta(milliseconds=shift))
            stamp = nodes[at].receive(last)
            assert stamp > last
            last = stamp


class TestPauseDetector:
    def test_a_gap_over_the_threshold_is_a_pause(self):
        clock = ManualClock()
        detector = PauseDetector(clock, timedelta(seconds=1))
        clock.advance(timedelta(milliseconds=900))
        assert detector.observe() is None
        clock.advance(timedelta(milliseconds=1100))
        assert detector.observe() == timedelta(milliseconds=1100)
        assert detector.observe() is None

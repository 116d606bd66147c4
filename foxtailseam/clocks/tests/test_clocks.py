"""Tests of clocks."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import HybridClock, HybridTimestamp, ManualClock, PauseDetector


class TestHybridClock:
    def test_events_within_a_millisecond_have_increasing_timestamps(self):
        hybrid_clock = HybridClock(ManualClock())
        timestamps = [hybrid_clock.tick() for _ in range(5)]
        assert timestamps == sorted(set(timestamps))

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(-500, 500))))
    def test_timestamps_follow_causality_although_wall_clocks_differ(self, steps):
        clocks = [ManualClock() for _ in range(3)]
        clocks[1].advance(timedelta(hours=-1))
        nodes = [HybridClock(clock) for clock in clocks]
        last = HybridTimestamp(0, 0)
        for index, shift in steps:
            clocks[index].advance(timedelta(milliseconds=shift))
            timestamp = nodes[index].receive(last)
            assert timestamp > last
            last = timestamp


class TestPauseDetector:
    def test_a_gap_above_the_threshold_is_a_pause(self):
        clock = ManualClock()
        detector = PauseDetector(clock, timedelta(seconds=1))
        clock.advance(timedelta(milliseconds=900))
        assert detector.observe() is None
        clock.advance(timedelta(milliseconds=1100))
        assert detector.observe() == timedelta(milliseconds=1100)
        assert detector.observe() is None

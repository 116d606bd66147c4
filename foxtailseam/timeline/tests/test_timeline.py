"""Tests of recording and merging events."""

from datetime import timedelta

from foxtailseam.clocks import HybridClock, ManualClock
from foxtailseam.logs import EventCode
from foxtailseam.timeline import Recorder, merge_events


def new_recorder(clock, process="entry", capacity=100):
    return Recorder("h", process, "0", clock, HybridClock(clock), capacity)


class TestRecorder:
    def test_the_oldest_events_are_dropped(self):
        recorder = new_recorder(ManualClock(), capacity=3)
        for number in range(5):
            recorder.record(EventCode.REQUEST_ARRIVED, f"r{number}")
        assert [event.request_id for event in recorder.events] == ["r2", "r3", "r4"]


class TestMergeEvents:
    def test_a_cause_precedes_its_effect_despite_clock_skew(self):
        ahead, behind = ManualClock(), ManualClock()
        ahead.advance(timedelta(seconds=30))
        sender, receiver = new_recorder(ahead, "a"), new_recorder(behind, "b")
        sender.record(EventCode.REQUEST_ARRIVED, "r")
        receiver.hybrid_clock.receive(sender.hybrid_clock.tick())
        receiver.record(EventCode.BATCH_RECEIVED, "r")
        merged = merge_events([receiver.events, sender.events])
        assert [event.process for event in merged] == ["a", "b"]

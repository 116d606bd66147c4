"""Tests of the time line."""

from datetime import timedelta

from foxtailseam.clocks import HybridClock, ManualClock
from foxtailseam.logs import EventCode
from foxtailseam.timeline import Recorder, merge_events


def new_recorder(clock, process="entry", capacity=100):
    return Recorder("h", process, "0", clock, HybridClock(clock), capacity)


class TestRecorder:
    def test_the_ring_is_bounded(self):
        recorder = new_recorder(ManualClock(), capacity=3)
        for number in range(5):
            recorder.record(EventCode.REQUEST_ARRIVED, f"r{number}")
        assert [event.request_id for event in recorder.events] == ["r2", "r3", "r4"]


class TestMergeEvents:
    def test_cause_comes_before_effect_though_clocks_differ(self):
        ahead, behind = ManualClock(), ManualClock()
        ahead.advance(timedelta(seconds=30))
        sender, receiver = new_recorder(ahead, "a"), new_recorder(behind, "b")
        sender.record(EventCode.REQUEST_ARRIVED, "r")
        receiver.hybrid.receive(sender.hybrid.tick())
        receiver.record(EventCode.BATCH_RECEIVED, "r")
        merged = merge_events([receiver.events, sender.events])
        assert [event.process for event in merged] == ["a", "b"]

"""Tests of the log events on joint admitted shares."""

from datetime import timedelta

from foxtailseam.admission import AdmissionNotice, FleetAdmission
from foxtailseam.clocks import ManualClock
from foxtailseam.fleet import HostRecord
from foxtailseam.front._admission_log import AdmissionLog
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam_bench.simulation._tier import RecordingLog


class TestAdmissionLog:
    """Guards against an overload that operators cannot see, and repeated lines."""

    def test_begin_and_end_are_logged_once(self):
        clock, log = ManualClock(), RecordingLog()
        admission = FleetAdmission(clock)
        admission.domain_sizes = lambda: {"d1": 6}
        admission_log = AdmissionLog(admission, log, Metrics())
        admission_log.update()
        for number in (1, 2, 3):
            sender = HostRecord(f"10.0.0.{number}:80", "d1", 1)
            admission.merge(sender, (AdmissionNotice("shard0", 0.2, 9.0),))
        admission_log.update()
        admission_log.update()
        clock.advance(timedelta(seconds=5))
        admission_log.update()
        assert [code for code, _ in log.events] == [
            EventCode.ADMISSION_LIMITED,
            EventCode.ADMISSION_RELEASED,
        ]

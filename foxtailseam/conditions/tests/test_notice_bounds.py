"""Tests of how many notices of slow searchers one message can bring."""

import random

from foxtailseam.clocks import ManualClock
from foxtailseam.conditions import ConditionNotices, ConditionRegistry, SlownessNotice
from foxtailseam.conditions._notices import ReportNotice
from foxtailseam.conditions._registry import MAX_NOTICES


class TestManyNotices:
    # Guards against: each notice is compared with all others of its host, so that one
    # message with tens of thousands keeps the event loop for longer than the watchdog
    # allows.
    def test_no_more_are_taken_than_hosts_send(self):
        registry = ConditionRegistry(ManualClock(), random.Random(1))
        changed = []
        registry.on_notice = changed.append
        report = ReportNotice("10.0.0.1:80", "d1", 80, 0)
        notices = tuple(
            SlownessNotice(f"i-{number}", 7, (report,)) for number in range(1_000)
        )
        registry.merge(ConditionNotices(slowness=notices))
        assert len(set(changed)) <= MAX_NOTICES

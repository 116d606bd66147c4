"""Tests of the size of what is logged."""

import json
import os

from foxtailseam.clocks import ManualClock
from foxtailseam.logs import EventCode, LogWriter

MAX_LINE_BYTES = 20_000


class TestLongFields:
    def test_a_line_is_bounded_whatever_others_have_named_a_searcher(self):
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        log = LogWriter(writer, "host", ManualClock())
        log.write(EventCode.SEARCHER_JOINED, searcher="i", service="\0" * 1_000_000)
        log.flush()
        line = os.read(reader, 1_000_000)
        assert len(line) < MAX_LINE_BYTES
        assert json.loads(line)["searcher"] == "i"
        assert json.loads(line)["service"].endswith("...")

"""Tests of the log events on values that cannot be used."""

import json
import os
from datetime import timedelta

from foxtailseam.clocks import ManualClock
from foxtailseam.front._refusal_log import MAX_KEYS, MIN_INTERVAL_SECONDS, RefusalLog
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.store import Position
from foxtailseam.utils import ValidationProblem

KEY = "servers/i-1"
PROBLEM = ValidationProblem("servers/i-1.born", "'x'", "`int`")
CODE = EventCode.ENTRY_REFUSED


class LoggedRefusals:
    """A refusal log whose lines are read back."""

    def __init__(self, path):
        self.clock = ManualClock()
        self.path = path
        self.writer = LogWriter(
            os.open(path, os.O_CREAT | os.O_WRONLY), "host-1", self.clock
        )
        self.subject = RefusalLog(self.writer, self.clock)

    def record(self, problem=PROBLEM, key=KEY, revision=5):
        self.subject.record(CODE, key, Position(1, revision), problem)

    def lines(self):
        self.writer.flush()
        return [json.loads(line) for line in self.path.read_text().splitlines()]


class TestRefusalLog:
    def test_a_line_names_key_revision_field_and_value(self, tmp_path):
        log = LoggedRefusals(tmp_path / "log")
        log.record()
        (line,) = log.lines()
        expected = {
            "name": "entry-refused",
            "key": KEY,
            "era": 1,
            "revision": 5,
            "field": "servers/i-1.born",
            "found": "'x'",
            "expected": "`int`",
        }
        assert expected.items() <= line.items()

    def test_the_same_problem_is_logged_once(self, tmp_path):
        log = LoggedRefusals(tmp_path / "log")
        for revision in range(100):
            log.record(revision=revision)
            log.clock.advance(timedelta(seconds=1))
        assert len(log.lines()) == 1

    def test_the_same_problem_is_logged_again_after_a_usable_value(self, tmp_path):
        log = LoggedRefusals(tmp_path / "log")
        log.record()
        log.subject.forget(KEY)
        log.record()
        assert len(log.lines()) == 2

    def test_changing_values_of_a_field_are_logged_at_intervals(self, tmp_path):
        log = LoggedRefusals(tmp_path / "log")
        for number in range(100):
            log.record(ValidationProblem(PROBLEM.parameter, str(number), "`int`"))
            log.clock.advance(timedelta(seconds=1))
        assert len(log.lines()) == 100 / MIN_INTERVAL_SECONDS

    def test_another_field_is_logged_at_once(self, tmp_path):
        log = LoggedRefusals(tmp_path / "log")
        log.record()
        log.record(ValidationProblem("servers/i-1.zone", "1", "`str`"))
        assert len(log.lines()) == 2

    def test_keys_without_number_are_not_all_remembered(self, tmp_path):
        log = LoggedRefusals(tmp_path / "log")
        for number in range(2 * MAX_KEYS):
            log.record(key=f"servers/{number}")
        assert len(log.subject._refusals) == MAX_KEYS

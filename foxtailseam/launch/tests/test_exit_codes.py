"""Tests that operators can look up how a process ended."""

import json
import re
from pathlib import Path

from foxtailseam.launch import ExitCode
from foxtailseam.launch._failure import log_failure
from foxtailseam.logs import EventCode

OPERATIONS = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


class TestExitCodes:
    def test_the_page_for_operators_has_all_of_them_and_no_other(self):
        section = OPERATIONS.read_text().partition("## What ends a process")[2]
        section = section.partition("\n## ")[0]
        numbers = re.findall(r"^\| (\d+) \|", section, re.MULTILINE)
        assert [int(number) for number in numbers] == sorted(ExitCode)

    def test_a_failure_before_the_program_is_imported_is_the_same_event(self, capsys):
        log_failure("listen", ExitCode.ADDRESS_UNAVAILABLE, OSError("x" * 1000))
        event = json.loads(capsys.readouterr().out)
        code = EventCode.PROCESS_FAILED
        assert (event["event"], event["level"]) == (
            code.number,
            code.severity.name.lower(),
        )
        assert event["name"] == code.name.lower().replace("_", "-")
        assert event["exit_code"] == 12
        assert len(event["problem"]) == 200

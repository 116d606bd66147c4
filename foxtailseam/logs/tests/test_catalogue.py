"""Tests of the catalogue of log events."""

from pathlib import Path

from foxtailseam.logs import EventCode

PAGE = Path(__file__).parents[3] / "docs" / "events.md"


class TestEventCode:
    def test_numbers_are_unique(self):
        numbers = [code.number for code in EventCode]
        assert len(numbers) == len(set(numbers))

    def test_the_page_lists_exactly_the_events_of_the_code(self):
        rows = {line for line in PAGE.read_text().splitlines() if line[2:5].isdigit()}
        expected = {
            f"| {code.number} | {code.name.lower().replace('_', '-')} "
            f"| {code.severity.name.lower()} | {code.meaning} |"
            for code in EventCode
        }
        assert rows == expected

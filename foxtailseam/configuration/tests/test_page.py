"""Checks the reference page and the sample files against the grammar."""

from pathlib import Path

import pytest

from foxtailseam.configuration import RULE_KINDS, parse_rules

ROOT = Path(__file__).parents[3]


class TestRulesPage:
    def test_each_setting_has_a_row(self):
        page = (ROOT / "docs" / "rules.md").read_text()
        for kind in RULE_KINDS.values():
            assert f"| `{kind.name}` | {kind.expected} |" in page
            assert kind.description in page

    @pytest.mark.parametrize("name", ["qureshi", "lakeshore"])
    def test_the_samples_are_valid(self, name):
        text = (ROOT / "examples" / f"{name}.rules").read_text()
        assert parse_rules(text).is_ok()

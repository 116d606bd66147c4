"""Tests of the parser of the rules file."""

from datetime import timedelta

import pytest

from foxtailseam.configuration import RULE_KINDS, parse_rules


class TestParseRules:
    def test_a_family_rule_overrides_the_rule_for_all_families(self):
        text = "* deadline 200ms  # Ops\ngrant-ledger deadline 2s  # Ledger desk\n"
        rules = parse_rules(text).unwrap()
        assert rules.policy("grant-ledger").deadline == timedelta(seconds=2)
        assert rules.policy("other").deadline == timedelta(milliseconds=200)

    def test_blank_lines_and_comment_lines_are_skipped(self):
        rules = parse_rules("\n# Heading\n  \n* limit 5  # Ops\n").unwrap()
        assert rules.lines == ("* limit 5  # Ops",)

    @pytest.mark.parametrize(
        ("text", "line", "column", "found"),
        [
            ("", 1, 1, ""),
            ("* deadline 200ms", 1, 17, ""),
            ("* deadline 200ms #", 1, 19, ""),
            ("* deadline # Ops", 1, 11, "#"),
            ("# x\n* speed 3 # Ops", 2, 3, "speed"),
            ("* deadline 200 # Ops", 1, 12, "200"),
            ("* deadline 61s # Ops", 1, 12, "61s"),
            ("* deadline 1s 2s # Ops", 1, 15, "2s"),
            ("Big deadline 1s # Ops", 1, 1, "Big"),
            ("* limit 0 # Ops", 1, 9, "0"),
            ("* limit ٣ # Ops", 1, 9, "٣"),
            ("* repeatable maybe # Ops", 1, 14, "maybe"),
            ("* limit 1 # A\n* limit 2 # B", 2, 1, "* limit 2 # B"),
        ],
    )
    def test_an_error_has_position_found_and_expected_text(
        self, text, line, column, found
    ):
        error = parse_rules(text).unwrap_err()
        assert (error.line, error.column, error.found) == (line, column, found)
        assert error.expected

    def test_a_file_over_the_limit_is_refused(self):
        text = "* limit 5  # " + "x" * 1_000_000
        assert "1000000 bytes" in parse_rules(text).unwrap_err().expected

    def test_every_setting_has_an_attribute_of_the_policy(self):
        policy = parse_rules("* limit 5  # Ops").unwrap().policy("any")
        for kind in RULE_KINDS.values():
            assert hasattr(policy, kind.attribute)

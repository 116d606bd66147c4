"""Tests of parsing and validating settings."""

from datetime import timedelta

import pytest

from foxtailseam.settings import Role, parse_settings

VALID = """
process: {role: entry, name: entry, host: lahore-1, failure_domain: lahore,
          peers: "127.0.0.1:7000", operators: "127.0.0.1:7001"}
platform: {address: "127.0.0.1:7002"}
"""


class TestParseSettings:
    def test_missing_keys_have_defaults(self):
        settings = parse_settings(VALID + "peers: {interval: 300ms}").unwrap()
        assert settings.process.role is Role.ENTRY
        assert settings.peers.interval == timedelta(milliseconds=300)
        assert settings.peers.fanout == 4

    @pytest.mark.parametrize(
        ("text", "key"),
        [
            ("", "settings"),
            ("process: [", "settings"),
            (VALID.replace("role: entry", "role: king"), "king"),
            (VALID.replace("127.0.0.1:7000", "localhost:7000"), "process.peers"),
            (VALID.replace("127.0.0.1:7000", "127.0.0.1:70000"), "process.peers"),
            (VALID.replace("host: lahore-1", "host: Lahore 1"), "process.host"),
            (VALID + "speed: 3", "speed"),
            (VALID + "peers: {speed: 3}", "speed"),
            (VALID + "peers: {interval: 3}", "duration"),
            (VALID + "peers: {interval: 1ms}", "peers.interval"),
            (VALID + "peers: {fanout: 0}", "peers.fanout"),
            (VALID + "entry: {body_limit: many}", "entry.body_limit"),
            (VALID + "log: {level: loud}", "log.level"),
        ],
    )
    def test_an_error_names_the_key(self, text, key):
        problems = parse_settings(text).unwrap_err()
        assert any(key in str(problem) for problem in problems)

    def test_all_problems_are_listed_at_once(self):
        text = VALID + "peers: {fanout: 0, interval: 1ms}\nentry: {body_limit: 0}"
        assert len(parse_settings(text).unwrap_err()) == 3

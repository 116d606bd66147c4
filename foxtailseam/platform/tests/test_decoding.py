"""Tests of the decoding of the platform's formats, and of its HTTP headers."""

import json
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.http import HttpRequest
from foxtailseam.platform import (
    PlatformRequestTemplate,
    decode_configuration,
    decode_entry,
    decode_settings,
    evacuated_domain_from_key,
    forwarded_headers,
    is_evacuation_key,
    is_used_key,
    local_response_headers,
    merged_response_headers,
    parse_request_headers,
    parse_response_headers,
    searcher_id_from_key,
)
from foxtailseam.routing import AllShards, OneService, WeightedServices

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "d1",
    "version": "v1",
    "max_concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r",
    "host": "A.Example",
    "path_prefix": "/p/",
    "type": "idempotent",
    "timeout_ms": 600,
    "latency_goal_ms": 44,
    "max_attempts": 2,
    "priority": 1,
}
SETTINGS = {
    "node_name": "n1",
    "ip": "10.1.0.9",
    "zone": "d1",
    "listen_addrs": {
        "frontend": "10.1.0.9:1",
        "readiness": "10.1.0.9:2",
        "control_plane": "10.1.0.9:3",
    },
    "seeds": ["10.2.0.1:3"],
    "limits": {"memory_mb": 300, "max_fds": 4100, "cpu_share": 0.5},
    "bounds": {
        "grace_s": 6,
        "config_apply_ms": 3000,
        "retry_budget_ratio": 0.2,
        "retry_window_s": 10,
        "retry_slack": 54,
    },
    "platform": {"address": "10.200.1.7:8102", "form": "read"},
    "unknown_field": [1],
}


def text(document):
    return json.dumps(document).encode()


class TestEntries:
    def test_a_valid_entry_is_decoded(self):
        entry = decode_entry("i-1", text(ENTRY)).unwrap()
        assert entry.identifier == "i-1"
        assert entry.warmup == timedelta(seconds=1.5)
        assert not entry.is_draining
        assert entry.started_ms == 1700000000000

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "unknown"},
            {"state": 3},
            {"service": None},
            {"service": ""},
            {"address": "nowhere"},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.256:80"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:99999"},
            {"address": "ten.0.0.1:80"},
            {"max_concurrency": 0},
            {"max_concurrency": "2"},
            {"zone": 5},
            {"warmup_left_ms": "soon"},
        ],
        ids=str,
    )
    def test_a_malformed_entry_is_rejected(self, change):
        assert decode_entry("i-1", text(ENTRY | change)).is_err()

    @pytest.mark.parametrize("field", ["service", "address", "zone", "state"])
    def test_an_entry_without_a_required_field_is_rejected(self, field):
        document = {key: value for key, value in ENTRY.items() if key != field}
        assert decode_entry("i-1", text(document)).is_err()

    @given(st.binary(max_size=60))
    def test_any_bytes_give_an_entry_or_an_error(self, value):
        decode_entry("i-1", value)

    @pytest.mark.parametrize(
        ("key", "expected"),
        [("servers/i-1", "i-1"), ("op/config", None), ("server/i-1", None)],
    )
    def test_the_identifier_is_taken_from_the_key(self, key, expected):
        assert searcher_id_from_key(key) == expected


class TestEvacuationKeys:
    @pytest.mark.parametrize(
        ("key", "expected"),
        [
            ("op/evacuate/d1", "d1"),
            ("op/evacuate/a/b", "a/b"),
            ("op/evacuate/", None),
            ("op/evacuate", None),
            ("op/evacuate/" + "x" * 201, None),
            ("op/config", None),
            ("servers/i-1", None),
        ],
    )
    def test_the_domain_is_taken_from_the_key(self, key, expected):
        assert evacuated_domain_from_key(key) == expected
        assert is_evacuation_key(key) == (expected is not None)
        is_other_used_key = key in ("op/config", "servers/i-1")
        assert is_used_key(key) == (expected is not None or is_other_used_key)


class TestWarmup:
    def test_the_rate_of_a_service_is_decoded(self):
        services = [{"name": "a", "warmup_s": 8, "warmup_per_s": 2.5}, {"name": "b"}]
        document = {"version": 1, "services": services}
        configuration = decode_configuration(json.dumps(document).encode()).unwrap()
        assert [item.warmup_rate for item in configuration.services] == [2.5, 0.0]

    @pytest.mark.parametrize("rate", [-1, "2", 1e9])
    def test_a_malformed_rate_is_refused(self, rate):
        services = [{"name": "a", "warmup_per_s": rate}]
        document = {"version": 1, "services": services}
        assert decode_configuration(json.dumps(document).encode()).is_err()


class TestConfiguration:
    @pytest.mark.parametrize(
        ("part", "expected"),
        [
            ({"service": "s"}, OneService("s")),
            (
                {"weighted_backends": [{"service": "a", "weight": 3}]},
                WeightedServices((("a", 3.0),)),
            ),
            (
                {"gather": ["a", "b"], "top_k": 5, "min_version": 0.75},
                AllShards(("a", "b"), 5, 0.75),
            ),
        ],
    )
    def test_a_route_is_decoded(self, part, expected):
        document = {"version": 7, "routes": [ROUTE | part], "unknown": {}}
        (route,) = decode_configuration(text(document)).unwrap().routes
        assert route.destination == expected
        assert route.host == "a.example"
        assert route.timeout == timedelta(milliseconds=600)

    @pytest.mark.parametrize(
        ("kind", "expected"),
        [("idempotent", True), ("non_idempotent", False), ("unknown", False)],
    )
    def test_only_the_type_idempotent_is_idempotent(self, kind, expected):
        document = {"version": 7, "routes": [ROUTE | {"type": kind, "service": "s"}]}
        (route,) = decode_configuration(text(document)).unwrap().routes
        assert route.idempotent is expected

    @given(st.binary(max_size=60))
    def test_any_bytes_give_a_configuration_or_an_error(self, value):
        decode_configuration(value)


class TestResources:
    def limits(self, **fields):
        document = SETTINGS | {"limits": fields}
        return decode_settings(text(document)).map(lambda settings: settings.limits)

    def test_the_processor_time_counts_the_speed_of_the_core(self):
        limits = self.limits(cpu_share=0.5, cpu_cores=3, link_mbps=14.5).unwrap()
        assert (limits.cores, limits.link_mbps) == (1.5, 14.5)

    def test_what_the_file_does_not_name_is_unknown(self):
        limits = self.limits(memory_mb=300).unwrap()
        assert (limits.cores, limits.link_mbps) == (0.0, 0.0)

    @pytest.mark.parametrize("name", ["link_mbps", "cpu_share", "cpu_cores"])
    def test_a_negative_amount_is_a_problem(self, name):
        assert self.limits(**{name: -1}).is_err()


class TestSettings:
    def test_settings_with_unknown_fields_are_decoded(self):
        settings = decode_settings(text(SETTINGS)).unwrap()
        assert settings.callers == "10.1.0.9:1"
        assert settings.seeds == ("10.2.0.1:3",)
        assert settings.bounds.shutdown_grace == timedelta(seconds=6)
        assert settings.bounds.retry_slack == 54
        assert settings.bounds.warmup_excess == 1.5
        assert settings.bounds.warmup_slack == 5

    def test_the_bound_of_cold_searchers_is_decoded(self):
        bounds = {"warmup_excess": 2, "warmup_slack": 3}
        settings = decode_settings(text(SETTINGS | {"bounds": bounds})).unwrap()
        assert settings.bounds.warmup_excess == 2
        assert settings.bounds.warmup_slack == 3
        assert settings.limits.max_file_descriptors == 4100

    def test_the_error_names_the_missing_field(self):
        document = {key: value for key, value in SETTINGS.items() if key != "ip"}
        assert "ip" in str(decode_settings(text(document)).unwrap_err())


def request(*headers, method=b"GET", body=b""):
    base = ((b"Host", b"a.example"), (b"Foxtailseam-Request-Id", b"0a"))
    return HttpRequest(method, b"/p/x?q=1", base + headers, body, 0.0)


class TestHeaders:
    def test_headers_sent_to_a_searcher(self):
        sent = PlatformRequestTemplate(
            request(
                (b"Foxtailseam-Deadline-Ms", b"9000"),
                (b"Foxtailseam-Expect-Instance", b"i-9"),
                (b"Connection", b"close, X-Hop"),
                (b"X-Hop", b"1"),
                (b"X-Own", b"kept"),
                method=b"POST",
                body=b"body",
            )
        ).render(0.4, "i-1")
        head, _, body = sent.partition(b"\r\n\r\n")
        assert body == b"body"
        assert head.split(b"\r\n") == [
            b"POST /p/x?q=1 HTTP/1.1",
            b"Host: a.example",
            b"Foxtailseam-Request-Id: 0a",
            b"X-Own: kept",
            b"Content-Length: 4",
            b"Foxtailseam-Deadline-Ms: 400",
            b"Foxtailseam-Expect-Instance: i-1",
        ]

    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            (b"400", timedelta(milliseconds=400)),
            (b"0.5", timedelta(milliseconds=0.5)),
            (b"soon", None),
            (b"nan", None),
            (b"inf", None),
        ],
    )
    def test_the_deadline_of_a_caller_is_parsed(self, value, expected):
        metadata = parse_request_headers(((b"foxtailseam-deadline-ms", value),))
        assert metadata.remaining == expected

    def test_a_repeated_identifier_is_ignored(self):
        headers = ((b"Foxtailseam-Request-Id", b"a"),) * 2
        assert parse_request_headers(headers).identifier == b""

    @pytest.mark.parametrize(
        ("status", "headers", "not_run"),
        [
            (503, ((b"Foxtailseam-Not-Executed", b"1"),), True),
            (429, ((b"foxtailseam-not-executed", b"1"),), True),
            (421, (), True),
            (503, (), False),
            (500, (), False),
            (200, (), False),
        ],
    )
    def test_only_the_header_or_status_421_says_that_a_request_was_not_run(
        self, status, headers, not_run
    ):
        assert parse_response_headers(status, headers).not_run is not_run

    @pytest.mark.parametrize(
        ("text", "limit", "is_malformed"),
        [
            (b"1", 1.0, False),
            (b"2.75", 2.75, False),
            (b"0", 0.0, False),
            (b"1e-320", 0.0, False),
            (b"-1", None, True),
            (b"nan", None, True),
            (b"inf", None, True),
            (b"", None, True),
            (b"many", None, True),
        ],
    )
    def test_limit_of_a_searcher(self, text, limit, is_malformed):
        answer = parse_response_headers(200, ((b"SERVER-LIMIT", text),))
        assert answer.rate_limit == limit
        assert answer.is_limit_malformed is is_malformed

    def test_searcher_without_a_limit(self):
        answer = parse_response_headers(200, ())
        assert answer.rate_limit is None
        assert not answer.is_limit_malformed
        assert not answer.has_conditions

    @pytest.mark.parametrize(
        ("text", "is_leaving"), [(b"1", True), (b" 1 ", True), (b"0", False)]
    )
    def test_searcher_that_says_that_it_leaves(self, text, is_leaving):
        for status in (200, 500, 503):
            answer = parse_response_headers(status, ((b"Server-Leaving", text),))
            assert answer.is_leaving is is_leaving

    @pytest.mark.parametrize(
        ("text", "seconds"),
        [
            (b"2", 2.0),
            (b"0.25", 0.25),
            (b"0", 0.0),
            (b"1e12", 3600.0),
            (b"inf", 3600.0),
            (b"-1", None),
            (b"nan", None),
            (b"soon", None),
            (b"", None),
            (b"Fri, 04 Dec 2026 12:00:00 GMT", None),
        ],
    )
    def test_pause_that_a_searcher_asks_for(self, text, seconds):
        answer = parse_response_headers(503, ((b"retry-after", text),))
        assert answer.pause == (None if seconds is None else timedelta(seconds=seconds))
        assert bool(answer.malformed) is (seconds is None)

    @pytest.mark.parametrize("status", [200, 429, 500, 502])
    def test_only_status_503_asks_for_a_pause(self, status):
        answer = parse_response_headers(status, ((b"Retry-After", b"2"),))
        assert answer.pause is None

    def test_headers_of_responses_to_the_caller(self):
        merged = dict(merged_response_headers(b"0a", [b"x", b"y"], 3))
        assert merged[b"Foxtailseam-Part-Stamps"] == b"x, y"
        assert merged[b"Foxtailseam-Missing-Parts"] == b"3"
        retry = dict(local_response_headers(b"0a", timedelta(milliseconds=250)))
        assert retry[b"Retry-After"] == b"0.250"
        forwarded = forwarded_headers(((b"Keep-Alive", b"timeout=1"), (b"ETag", b"e")))
        assert forwarded == ((b"ETag", b"e"),)

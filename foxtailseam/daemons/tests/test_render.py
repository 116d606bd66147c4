"""Tests of the HTTP responses to callers."""

from datetime import timedelta

import msgspec
import pytest

from foxtailseam.daemons._render import render_outcome
from foxtailseam.outcomes import (
    Accepted,
    Complete,
    Coverage,
    MissingReason,
    MissingShard,
    Partial,
    RefusalReason,
    Refused,
    Unknown,
)

FULL_COVERAGE = Coverage(("a", "b"), ())
PARTIAL_COVERAGE = Coverage(("a",), (MissingShard("b", MissingReason.DEADLINE),))


class TestRenderOutcome:
    @pytest.mark.parametrize(
        ("outcome", "status", "name"),
        [
            (Complete("r", 1, FULL_COVERAGE, ()), 200, "complete"),
            (Partial("r", 1, PARTIAL_COVERAGE, (), True), 200, "partial"),
            (Partial("r", 1, PARTIAL_COVERAGE, (), False), 504, "partial"),
            (Accepted("r", "receipt"), 200, "accepted"),
            (Unknown("r", "?"), 504, "unknown"),
            (Refused("r", RefusalReason.OVERLOADED, None), 429, "refused"),
            (Refused("r", RefusalReason.UNKNOWN_FAMILY, None), 404, "refused"),
            (Refused("r", RefusalReason.SHED, None), 503, "refused"),
        ],
    )
    def test_status_and_outcome(self, outcome, status, name):
        response = render_outcome(outcome)
        assert response.status == status
        assert msgspec.json.decode(response.body)["outcome"] == name

    def test_refusal_has_retry_after_in_whole_seconds(self):
        refused = Refused("r", RefusalReason.SHED, timedelta(milliseconds=200))
        response = render_outcome(refused)
        assert (b"Retry-After", b"1") in response.headers
        assert msgspec.json.decode(response.body)["retry_after_ms"] == 200

    def test_missing_shard_has_its_reason(self):
        response = render_outcome(Partial("r", 1, PARTIAL_COVERAGE, (), True))
        coverage = msgspec.json.decode(response.body)["coverage"]
        assert coverage["lacking"] == [{"shard": "b", "reason": "deadline"}]

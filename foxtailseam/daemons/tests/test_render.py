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

WHOLE = Coverage(("a", "b"), ())
PART = Coverage(("a",), (MissingShard("b", MissingReason.DEADLINE),))


class TestRenderOutcome:
    @pytest.mark.parametrize(
        ("outcome", "status", "name"),
        [
            (Complete("r", 1, WHOLE, ()), 200, "complete"),
            (Partial("r", 1, PART, (), True), 200, "partial"),
            (Partial("r", 1, PART, (), False), 504, "partial"),
            (Accepted("r", "receipt"), 200, "accepted"),
            (Unknown("r", "?"), 504, "unknown"),
            (Refused("r", RefusalReason.OVERLOADED, None), 429, "refused"),
            (Refused("r", RefusalReason.UNKNOWN_FAMILY, None), 404, "refused"),
            (Refused("r", RefusalReason.SHED, None), 503, "refused"),
        ],
    )
    def test_status_and_outcome(self, outcome, status, name):
        reply = render_outcome(outcome)
        assert reply.status == status
        assert msgspec.json.decode(reply.body)["outcome"] == name

    def test_refusal_has_retry_after_in_whole_seconds(self):
        refused = Refused("r", RefusalReason.SHED, timedelta(milliseconds=200))
        reply = render_outcome(refused)
        assert (b"Retry-After", b"1") in reply.headers
        assert msgspec.json.decode(reply.body)["retry_after_ms"] == 200

    def test_missing_shard_has_its_reason(self):
        reply = render_outcome(Partial("r", 1, PART, (), True))
        coverage = msgspec.json.decode(reply.body)["coverage"]
        assert coverage["lacking"] == [{"shard": "b", "reason": "deadline"}]

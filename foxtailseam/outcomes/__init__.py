"""Outcomes of requests, shard coverage, and merging of sub-answers."""

from foxtailseam.outcomes._coverage import Coverage, MissingReason, MissingShard
from foxtailseam.outcomes._merge import merge_answers
from foxtailseam.outcomes._outcomes import (
    Accepted,
    Complete,
    Outcome,
    Partial,
    RefusalReason,
    Refused,
    Unknown,
)
from foxtailseam.outcomes._records import TopRecords, merge_records
from foxtailseam.outcomes._sub_answers import Hit, SubAnswer

__all__ = [
    "Accepted",
    "Complete",
    "Coverage",
    "Hit",
    "MissingReason",
    "MissingShard",
    "Outcome",
    "Partial",
    "RefusalReason",
    "Refused",
    "SubAnswer",
    "TopRecords",
    "Unknown",
    "merge_answers",
    "merge_records",
]

"""Tests of merging records."""

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.outcomes import merge_records

RECORD = st.binary(min_size=16, max_size=16)


class TestMergeRecords:
    @given(st.lists(st.lists(RECORD, max_size=6), max_size=5), st.integers(0, 12))
    def test_returns_the_greatest_records_in_descending_order(self, shards, limit):
        merged = merge_records((b"".join(records) for records in shards), limit)
        expected = sorted((r for records in shards for r in records), reverse=True)[
            :limit
        ]
        assert merged == b"".join(expected)

    def test_an_incomplete_last_record_is_ignored(self):
        assert merge_records([b"a" * 16 + b"z" * 15], 5) == b"a" * 16

    def test_duplicate_records_are_kept(self):
        assert merge_records([b"a" * 16, b"a" * 16], 5) == b"a" * 32

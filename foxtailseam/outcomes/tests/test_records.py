"""Tests of the merge of records by their bytes."""

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.outcomes import merge_records

RECORD = st.binary(min_size=16, max_size=16)


class TestMergeRecords:
    @given(st.lists(st.lists(RECORD, max_size=6), max_size=5), st.integers(0, 12))
    def test_the_greatest_records_of_all_parts_falling(self, parts, top):
        merged = merge_records((b"".join(part) for part in parts), top)
        expected = sorted((r for part in parts for r in part), reverse=True)[:top]
        assert merged == b"".join(expected)

    def test_a_shorter_remainder_is_no_record(self):
        assert merge_records([b"a" * 16 + b"z" * 15], 5) == b"a" * 16

    def test_equal_records_all_count(self):
        assert merge_records([b"a" * 16, b"a" * 16], 5) == b"a" * 32

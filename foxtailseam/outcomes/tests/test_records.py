"""Tests of merging records."""

import random
import struct
import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.outcomes import merge_records
from foxtailseam.outcomes._records import BLOCK_BYTES

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

    @given(st.integers(-40, 40), st.integers(1, 3), st.integers(0, 1_000))
    def test_bodies_of_several_blocks_are_merged_whole(self, excess, blocks, seed):
        body = random.Random(seed).randbytes(blocks * BLOCK_BYTES + excess)
        records = [body[i : i + 16] for i in range(0, len(body) - 15, 16)]
        merged = merge_records([body], 50)
        assert merged == b"".join(sorted(records, reverse=True)[:50])

    def test_large_bodies_of_many_sizes_take_little_memory_besides(self):
        body = b"a" * 2_000_000
        struct._clearcache()
        tracemalloc.start()
        for size in range(0, 160, 16):
            merge_records([memoryview(body)[size:]], 50)
        kept, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert kept < 1_000_000
        assert peak < 2_000_000

"""Tests of snapshots."""

import pytest

from foxtailseam.snapshots import parse_snapshots

SHARD = '{"name": "s0", "searchers": ["127.0.0.1:1"]}'


def text_of(shards):
    snapshot = f'{{"family": "f", "index_version": 3, "shards": [{shards}]}}'
    return f'{{"snapshots": [{snapshot}]}}'


class TestParseSnapshots:
    def test_a_snapshot_is_found_by_family(self):
        snapshots = parse_snapshots(text_of(SHARD)).unwrap()
        assert snapshots.find("f").index_version == 3
        assert snapshots.find("other") is None

    @pytest.mark.parametrize(
        "text", [text_of(""), text_of(f"{SHARD}, {SHARD}"), "[]", "", text_of("{}")]
    )
    def test_a_map_without_shards_or_with_one_twice_is_refused(self, text):
        assert parse_snapshots(text).is_err()

"""Tests of snapshot lookup and parsing."""

import pytest

from foxtailseam.snapshots import parse_snapshots

SHARD = '{"name": "s0", "searchers": ["127.0.0.1:1"]}'


def render_snapshots(shards):
    snapshot = f'{{"family": "f", "index_version": 3, "shards": [{shards}]}}'
    return f'{{"snapshots": [{snapshot}]}}'


class TestParseSnapshots:
    def test_a_snapshot_is_found_by_family(self):
        snapshots = parse_snapshots(render_snapshots(SHARD)).unwrap()
        assert snapshots.find("f").index_version == 3
        assert snapshots.find("other") is None

    @pytest.mark.parametrize(
        "text",
        [
            render_snapshots(""),
            render_snapshots(f"{SHARD}, {SHARD}"),
            "[]",
            "",
            render_snapshots("{}"),
        ],
    )
    def test_a_snapshot_without_shards_or_with_duplicates_is_rejected(self, text):
        assert parse_snapshots(text).is_err()

"""Tests of the rate of calls of a host and of what another host saves."""

import pytest

from foxtailseam.delegation import saved_seconds, shard_call_rate


class TestShardCallRate:
    def test_the_link_bounds_a_host_with_a_narrow_link(self):
        assert shard_call_rate(14.0, 0.5) == shard_call_rate(14.0, 2.0)
        assert shard_call_rate(28.0, 2.0) > 1.9 * shard_call_rate(14.0, 2.0)

    def test_the_processor_bounds_a_host_with_a_wide_link(self):
        assert shard_call_rate(1000.0, 0.5) == 5_000

    @pytest.mark.parametrize(("link_mbps", "cores"), [(0.0, 2.0), (14.0, 0.0)])
    def test_what_is_unknown_gives_no_rate(self, link_mbps, cores):
        assert shard_call_rate(link_mbps, cores) == 0


class TestSavedSeconds:
    def test_a_host_with_a_narrow_link_saves_time_at_one_with_a_wide_link(self):
        narrow, wide = shard_call_rate(14.0, 0.516), shard_call_rate(140.0, 2.15)
        assert saved_seconds(90, narrow, wide) > 0.01
        assert saved_seconds(90, wide, narrow) < 0.0

    def test_a_query_of_few_shards_does_not_repay_the_way(self):
        narrow, wide = shard_call_rate(14.0, 0.516), shard_call_rate(140.0, 2.15)
        assert saved_seconds(20, narrow, wide) < 0.0

    @pytest.mark.parametrize("shards", [1, 20, 1_100, 100_000])
    def test_nothing_is_saved_at_an_equal_host(self, shards):
        assert saved_seconds(shards, 5_000, 5_000) < 0.0

    @pytest.mark.parametrize(("own", "other"), [(0, 5_000), (5_000, 0), (0, 0)])
    def test_nothing_is_saved_where_a_rate_is_unknown(self, own, other):
        assert saved_seconds(1_100, own, other) < 0.0

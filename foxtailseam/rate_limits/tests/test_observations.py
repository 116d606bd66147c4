"""Tests of what hosts tell one another about the limits of searchers."""

import random
from datetime import timedelta

import pytest

from foxtailseam.clocks import ManualClock
from foxtailseam.rate_limits import LimitNotice, LimitObservations
from foxtailseam.rate_limits._observations import MAX_NOTICES, RETENTION_SECONDS


@pytest.fixture
def clock():
    return ManualClock()


def observations(clock):
    result = LimitObservations(clock, random.Random(1))
    result.received = []
    result.on_notice = result.received.append
    return result


class TestLimitObservations:
    def test_searchers_without_a_limit_are_not_passed_on(self, clock):
        host = observations(clock)
        host.record("i-1", 7, None)
        assert host.notices() == ()

    def test_the_end_of_a_limit_is_passed_on_with_its_age(self, clock):
        host = observations(clock)
        host.record("i-1", 7, 2.5)
        host.record("i-1", 7, None)
        clock.advance(timedelta(seconds=3))
        assert host.notices() == (LimitNotice("i-1", 7, None, 3000),)

    def test_a_newer_notice_replaces_an_older_one_and_is_relayed_with_its_age(
        self, clock
    ):
        first, second, third = (observations(clock) for _ in range(3))
        first.record("i-1", 7, 1.0)
        second.record("i-1", 7, 1.0)
        clock.advance(timedelta(seconds=1))
        first.record("i-1", 7, None)
        clock.advance(timedelta(seconds=2))
        second.merge(first.notices())
        assert second.received == [LimitNotice("i-1", 7, None, 2000)]
        assert second.limit("i-1", 7) is None
        clock.advance(timedelta(seconds=1))
        third.merge(second.notices())
        assert third.received == [LimitNotice("i-1", 7, None, 3000)]

    def test_an_older_notice_is_ignored(self, clock):
        first, second = observations(clock), observations(clock)
        first.record("i-1", 7, 1.0)
        clock.advance(timedelta(seconds=1))
        second.record("i-1", 7, 1.0)
        second.record("i-1", 7, None)
        second.merge(first.notices())
        assert second.received == []
        assert second.limit("i-1", 7) is None

    def test_a_limit_holds_for_one_run_of_a_searcher(self, clock):
        host = observations(clock)
        host.record("i-1", 7, 1.0)
        assert host.limit("i-1", 7) == 1.0
        assert host.limit("i-1", 8) is None

    @pytest.mark.parametrize("limit", [1.0, None])
    def test_old_observations_are_forgotten(self, clock, limit):
        host = observations(clock)
        host.record("i-1", 7, 1.0)
        host.record("i-1", 7, limit)
        clock.advance(timedelta(seconds=RETENTION_SECONDS))
        assert len(host.notices()) == 1
        clock.advance(timedelta(seconds=1))
        assert host.notices() == ()

    def test_a_limit_that_has_ended_does_not_come_back_by_an_old_notice(self, clock):
        first, second = observations(clock), observations(clock)
        for host in (first, second):
            host.record("i-1", 7, 1.0)
        first.record("i-1", 7, None)
        # As long as the second host passes on the limit, the first one knows better.
        clock.advance(timedelta(seconds=RETENTION_SECONDS - 1))
        first.merge(second.notices())
        assert first.limit("i-1", 7) is None
        assert first.received == []

    def test_a_message_is_bounded(self, clock):
        host = observations(clock)
        for number in range(3 * MAX_NOTICES):
            host.record(f"i-{number}", 7, 1.0)
        assert len(host.notices()) == MAX_NOTICES

"""Tests of the share of requests that a host admits."""

import math
from datetime import timedelta

import pytest

from foxtailseam.admission import AdaptiveThrottle
from foxtailseam.clocks import ManualClock

QUEUED = 3.0
NOT_QUEUED = 0.1


def share_after(*delays, interval=0.4):
    """Return the admitted share after requests with these delays."""
    clock = ManualClock()
    throttle = AdaptiveThrottle(clock)
    for delay in delays:
        clock.advance(timedelta(seconds=interval))
        throttle.record(delay)
    return throttle.admitted_share


class TestAdaptiveThrottle:
    @pytest.mark.parametrize(
        "delays",
        [
            (),
            (NOT_QUEUED,) * 20,
            (QUEUED,),
            (math.inf,),
            (QUEUED, NOT_QUEUED, NOT_QUEUED, NOT_QUEUED) * 5,
        ],
    )
    def test_single_slow_requests_refuse_nobody(self, delays):
        assert share_after(*delays) == 1.0

    @pytest.mark.parametrize("delay", [QUEUED, math.inf])
    def test_a_row_of_queued_requests_lowers_the_share(self, delay):
        shares = [share_after(*[delay] * count) for count in range(1, 6)]
        assert shares == sorted(shares, reverse=True)
        assert shares[-1] < 0.6

    def test_some_requests_are_always_admitted(self):
        assert 0.1 <= share_after(*[math.inf] * 100) < 0.2

    def test_slow_requests_long_ago_do_not_count(self):
        assert share_after(QUEUED, QUEUED, interval=20) == 1.0

    def test_the_share_recovers_without_requests(self):
        clock = ManualClock()
        throttle = AdaptiveThrottle(clock)
        for _ in range(20):
            throttle.record(math.inf)
        assert throttle.admitted_share < 0.2
        clock.advance(timedelta(seconds=10))
        assert throttle.admitted_share == 1.0

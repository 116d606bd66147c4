"""Tests of the parts of the hosts in what a cold searcher accepts."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.rate_limits import RAMP_SECONDS, HostGroup, WarmupLimit, WarmupPacer
from foxtailseam.rate_limits._warmup import RAMP_STEP_SECONDS


def group(own, addresses):
    return HostGroup(own, frozenset(addresses))


def addresses_of(count):
    return [f"10.0.{number // 250}.{number % 250}:1" for number in range(count)]


def shares(limit, addresses, searcher="i-1"):
    found = [limit.share(searcher, group(own, addresses)) for own in addresses]
    return [share for share in found if share is not None]


def total(found):
    """Return the most requests that hosts with these shares send in a second."""
    return sum(share.burst + 1.0 / share.interval for share in found)


class TestWarmupLimit:
    @pytest.mark.parametrize("hosts", [1, 6, 75, 195, 1_000])
    @pytest.mark.parametrize("rate", [0.5, 2.0, 7.0, 20.0, 100.0])
    def test_parts_stay_within_the_bound_and_leave_some_for_other_views(
        self, hosts, rate
    ):
        limit = WarmupLimit(rate)
        found = shares(limit, addresses_of(hosts))
        bound = rate * 1.5 + 5
        assert total(found) <= rate + 0.5 * (bound - rate) + 1e-9
        assert sum(1.0 / share.interval for share in found) == pytest.approx(rate)

    @given(
        st.floats(0, 1_000),
        st.floats(1, 10),
        st.floats(0, 50),
        st.integers(1, 40),
    )
    def test_no_bound_is_exceeded(self, rate, excess, slack, hosts):
        limit = WarmupLimit(rate, excess, slack)
        assert total(shares(limit, addresses_of(hosts))) <= rate * excess + slack + 1e-6

    @pytest.mark.parametrize("rate", [2.0, 7.0, 20.0, 100.0])
    def test_hosts_with_slightly_different_views_stay_within_the_bound(self, rate):
        limit = WarmupLimit(rate)
        generator = random.Random(1)
        for number in range(20):
            addresses = addresses_of(195)
            found = []
            for own in addresses:
                # Each host lacks 2 of the others.
                unknown = set(generator.sample(addresses, 2)) - {own}
                view = group(own, set(addresses) - unknown)
                found.append(limit.share(f"i-{number}", view))
            found = [share for share in found if share is not None]
            assert total(found) <= rate * 1.5 + 5


class TestWarmupPacer:
    def pacer(self, ends_at=10.0, starts_at=0.0, rate=2.0):
        own = addresses_of(1)
        hosts = group(own[0], own)
        limit = WarmupLimit(rate)
        return WarmupPacer("i-1", limit, hosts, ends_at, 0.0, 0.5, starts_at)

    def test_it_ramps_up_in_steps_after_the_cold_period(self):
        pacer = self.pacer()
        sent_at, now = [], 0.0
        while now < 10.0 + RAMP_SECONDS:
            if pacer.wait(now) <= 0.0:
                pacer.take(now)
                sent_at.append(now)
            now += 0.001
        cold = [at for at in sent_at if at < 10.0]
        assert 19 <= len(cold) <= 21
        steps = [
            sum(
                0.0 <= at - 10.0 - step * RAMP_STEP_SECONDS < RAMP_STEP_SECONDS
                for at in sent_at
            )
            for step in range(6)
        ]
        for before, after in zip(steps, steps[1:], strict=False):
            assert before <= after <= 3 * before + 2
        assert pacer.wait(10.0 + RAMP_SECONDS + 0.01) == 0.0
        pacer.take(10.0 + RAMP_SECONDS + 0.01)
        assert pacer.wait(10.0 + RAMP_SECONDS + 0.01) == 0.0

    def test_a_host_that_does_not_know_the_others_yet_sends_nothing(self):
        pacer = self.pacer(starts_at=3.0)
        assert pacer.wait(1.0) == 2.0
        assert pacer.wait(3.0) == 0.0

    def test_a_host_that_becomes_a_sender_again_has_nothing_saved(self):
        pacer = self.pacer(rate=0.5)
        own = addresses_of(1)[0]
        others = [item for item in addresses_of(40) if item != own]
        without = HostGroup("elsewhere", frozenset(others))
        pacer.update(pacer.limit, without, 10.0, 4.0)
        assert not pacer.is_sender
        assert pacer.wait(4.0) == 6.0
        pacer.update(pacer.limit, group(own, [own]), 10.0, 5.0)
        assert pacer.wait(5.0) > 0.0

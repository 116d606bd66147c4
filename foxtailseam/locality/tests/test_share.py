"""Tests of the rules by which a spillover share changes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.locality import (
    CROSS_DOMAIN_COST_SECONDS,
    MIN_SHARE,
    Observation,
    may_end,
    next_share,
)

SECONDS = st.floats(min_value=0.001, max_value=2.0)
SHARES = st.floats(min_value=MIN_SHARE, max_value=1.0)


def observe(home=0.03, away=0.03, leaving=0.5, base=0.03):
    return Observation(home, base, away, base, leaving)


class TestContention:
    """Guards against shares for services that the constant serves well."""

    @pytest.mark.parametrize(
        ("observation", "is_contended", "why"),
        [
            (observe(), False, "calm"),
            (observe(home=0.36, leaving=0.9), False, "a degraded home searcher"),
            (observe(away=0.2), False, "home is quick"),
            (observe(home=0.1, away=0.1, leaving=0.1), False, "hardly any leaves"),
            (observe(home=0.1, away=0.1), True, "requests wait on both sides"),
        ],
    )
    def test_requests_wait_on_both_sides_and_leave(
        self, observation, is_contended, why
    ):
        assert observation.is_contended is is_contended, why


class TestNextShare:
    def test_rises_while_home_is_slower_by_more_than_the_price(self):
        assert next_share(0.3, observe(home=0.2, away=0.05)) > 0.3

    def test_falls_while_leaving_saves_less_than_the_price(self):
        assert next_share(0.3, observe(home=0.05, away=0.05)) < 0.3

    def test_rests_where_both_ways_cost_about_the_same(self):
        away = 0.05
        assert next_share(0.3, observe(away + CROSS_DOMAIN_COST_SECONDS, away)) == 0.3

    def test_falls_to_the_minimum_where_both_are_full(self):
        share = 0.6
        for _ in range(100):
            share = next_share(share, observe(home=0.1, away=0.1))
        assert share == MIN_SHARE

    @given(SHARES, SECONDS, SECONDS)
    def test_moves_in_small_steps_within_bounds(self, share, home, away):
        moved = next_share(share, observe(home, away))
        assert MIN_SHARE <= moved <= 1.0
        assert abs(moved - share) <= 0.1 + 1e-9


class TestEnd:
    @pytest.mark.parametrize(
        ("share", "home", "is_over"),
        [(0.1, 0.03, True), (0.1, 0.1, False), (0.5, 0.03, False), (0.96, 0.1, True)],
    )
    def test_ends_as_it_holds_nothing_back_or_home_is_quick(self, share, home, is_over):
        assert may_end(share, observe(home=home, away=home)) is is_over

"""Tests of the division of a scarce capacity."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.admission import MIN_SERVED_FRACTION, allocate

rates = st.floats(0.0, 1000.0)
demands = st.fixed_dictionaries(
    {name: st.tuples(rates, rates) for name in ("d1", "d2", "d3")}
)


class TestAllocate:
    """Guards against a kind of request that starves, and against spending too much."""

    @given(demands, st.floats(0.01, 1.0))
    def test_no_kind_is_served_less_than_the_lower_bound(self, demands, share):
        for name in demands:
            for part in allocate(share, name, demands):
                assert MIN_SERVED_FRACTION * share - 1e-9 <= part <= 1.0 + 1e-9

    @given(demands, st.floats(0.01, 1.0))
    def test_at_most_the_capacity_and_the_lower_bounds_are_spent(self, demands, share):
        total = sum(map(sum, demands.values()))
        spent = sum(
            rate * part
            for name, domain_rates in demands.items()
            for rate, part in zip(
                domain_rates, allocate(share, name, demands), strict=True
            )
        )
        assert spent <= (1.0 + MIN_SERVED_FRACTION) * share * total + 1e-6

    def test_higher_priorities_go_first(self):
        assert allocate(0.5, "d1", {"d1": (50.0, 50.0)}) == pytest.approx((0.8, 0.2))

    def test_domains_get_equal_parts_and_what_others_do_not_need(self):
        demands = {"d1": (260.0,), "d2": (100.0,), "d3": (40.0,)}
        assert allocate(0.6, "d3", demands) == pytest.approx((1.0,))
        assert allocate(0.6, "d2", demands) == pytest.approx((1.0,))
        assert allocate(0.6, "d1", demands) == pytest.approx((100 / 260,))

    def test_a_host_without_requests_admits_the_joint_share(self):
        assert allocate(0.3, "d1", {"d1": (0.0, 0.0)}) == (0.3, 0.3)

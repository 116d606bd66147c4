"""Tests of the cost measurements and their linear fit."""

import pytest

from foxtailseam_bench.slopes import (
    Point,
    Slope,
    batch_slope,
    exchange_slope,
    merge_slope,
)


class TestSlope:
    def test_linear_fit_of_the_points(self):
        slope = Slope("x", "unit", (Point(0, 5.0), Point(10, 25.0), Point(20, 45.0)))
        assert slope.per_unit == pytest.approx(2.0)
        assert slope.fixed == pytest.approx(5.0)

    @pytest.mark.parametrize("measure", [exchange_slope, batch_slope, merge_slope])
    def test_operations_on_messages_are_measured(self, measure):
        slope = measure()
        assert len(slope.points) == 3
        assert slope.per_unit > 0

"""Tests of the positions that the configuration service names."""

import pytest

from foxtailseam.store import PositionCheck


class TestGarbledEra:
    @pytest.mark.parametrize("eras", [(3, 4), (900,)], ids=["next", "first"])
    def test_one_garbled_era_does_not_make_all_later_answers_unusable(self, eras):
        check = PositionCheck()
        for era in eras:
            check.check_era(era)
        assert "" in [check.check_era(3) for _ in range(10)]

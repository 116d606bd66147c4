"""Tests of the positions that the configuration service names."""

import pytest

from foxtailseam.store import UNCONFIRMED_ERA, PositionCheck
from foxtailseam.store._follower import OLDER_ERA


class TestGarbledEra:
    # Guards against: one answer that names a wrong era outdates all later answers.
    @pytest.mark.parametrize("eras", [(3, 4), (900,)], ids=["next", "first"])
    def test_one_garbled_era_does_not_make_all_later_answers_unusable(self, eras):
        check = PositionCheck()
        for era in eras:
            check.check_era(era)
        assert "" in [check.check_era(3) for _ in range(10)]

    # Guards against: the same, once the era of the service is believed.
    @pytest.mark.parametrize("odd_era", [4, 900])
    def test_an_era_that_one_answer_names_changes_nothing(self, odd_era):
        check = PositionCheck()
        check.check_era(3)
        check.check_era(3)
        for _ in range(3):
            assert check.check_era(odd_era) == UNCONFIRMED_ERA
            assert check.era == 3
            assert check.check_era(3) == ""

    def test_an_era_that_two_answers_in_a_row_name_is_believed(self):
        check = PositionCheck()
        results = [check.check_era(era) for era in (3, 3, 4, 4, 3)]
        assert results == [UNCONFIRMED_ERA, "", UNCONFIRMED_ERA, "", OLDER_ERA]
        assert check.era == 4

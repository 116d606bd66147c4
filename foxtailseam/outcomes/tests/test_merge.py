"""Tests of merging sub-answers."""

from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.outcomes import (
    Hit,
    MissingReason,
    MissingShard,
    SubAnswer,
    merge_answers,
)

SHARDS = ("a", "b", "c")


class TestMergeAnswers:
    def test_every_shard_is_included_or_missing_with_its_reason(self):
        answers = [
            SubAnswer("a", 1, (Hit("r1", 1.0, "x"),)),
            SubAnswer("b", lack=MissingReason.SHED),
        ]
        hits, coverage = merge_answers(SHARDS, 1, answers, 10)
        assert [hit.record for hit in hits] == ["r1"]
        assert coverage.included == ("a",)
        assert coverage.lacking == (
            MissingShard("b", MissingReason.SHED),
            MissingShard("c", MissingReason.DEADLINE),
        )

    def test_a_shard_with_another_version_is_missing(self):
        answers = [SubAnswer("a", 2, (Hit("r1", 1.0, "x"),))]
        hits, coverage = merge_answers(("a",), 1, answers, 10)
        assert hits == ()
        assert coverage.lacking == (MissingShard("a", MissingReason.WRONG_VERSION),)

    def test_a_record_on_two_shards_is_one_hit_with_its_best_score(self):
        answers = [
            SubAnswer("a", 1, (Hit("r", 1.0, "x"),)),
            SubAnswer("b", 1, (Hit("r", 2.0, "x"),)),
        ]
        hits, _ = merge_answers(("a", "b"), 1, answers, 10)
        assert hits == (Hit("r", 2.0, "x"),)

    @given(
        st.lists(
            st.builds(
                SubAnswer,
                st.sampled_from(["a", "b", "c", "stray"]),
                st.sampled_from([1, 2]),
                st.just(()),
                st.sampled_from([None, *MissingReason]),
            )
        )
    )
    def test_coverage_partitions_the_map_for_any_answers(self, answers):
        _, coverage = merge_answers(SHARDS, 1, answers, 10)
        lacking = [lack.shard for lack in coverage.lacking]
        assert sorted([*coverage.included, *lacking]) == sorted(SHARDS)
        for shard in coverage.included:
            assert any(
                item.shard == shard and item.lack is None and item.index_version == 1
                for item in answers
            )

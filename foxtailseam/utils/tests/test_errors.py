"""Tests of the descriptions of errors."""

from foxtailseam.utils import describe_error
from foxtailseam.utils._errors import MAX_TEXT_LENGTH


def _raise(error):
    raise error


def _caught(error):
    try:
        _raise(error)
    except type(error) as caught:
        return caught


class _TextlessError(Exception):
    def __str__(self):
        raise ValueError


class TestDescribeError:
    def test_names_the_type_the_text_and_where_it_was_raised(self):
        fields = describe_error(_caught(OverflowError("too large")))
        assert fields["error"] == "OverflowError"
        assert fields["problem"] == "too large"
        assert fields["frames"].endswith("_raise")

    def test_a_long_text_is_cut_short(self):
        fields = describe_error(_caught(ValueError("9" * 5000)))
        assert len(fields["problem"]) == MAX_TEXT_LENGTH

    def test_an_error_whose_text_fails_is_described_all_the_same(self):
        assert "ValueError" in describe_error(_caught(_TextlessError()))["problem"]

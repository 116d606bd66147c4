"""Tests of the store of a published value."""

import pytest
from result import Err, Ok

from foxtailseam.publications import Publication, PublicationName, PublicationStore


def parse(text):
    return Ok(text) if text != "bad" else Err("found bad")


def publication(number, text):
    return Publication(PublicationName.HOSTS, number, text)


class TestPublicationStore:
    @pytest.mark.parametrize(
        ("offers", "value"),
        [
            ([(1, "a"), (2, "b")], "b"),
            ([(2, "b"), (1, "a")], "b"),
            ([(1, "a"), (2, "bad")], "a"),
            ([(1, "a"), (2, "bad"), (3, "c")], "c"),
            ([(1, "a"), (1, "a")], "a"),
        ],
    )
    def test_the_highest_valid_revision_is_in_force(self, offers, value):
        store = PublicationStore("", parse)
        for number, text in offers:
            store.offer(publication(number, text))
        assert store.value == value

    def test_two_contents_of_one_number_converge_in_any_order(self):
        stores = [PublicationStore("", parse) for _ in range(2)]
        for store, texts in zip(stores, ("ab", "ba"), strict=True):
            for text in texts:
                store.offer(publication(1, text))
        assert stores[0].value == stores[1].value

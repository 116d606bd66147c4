"""Tests of the decoding of bytes that others have written."""

import tracemalloc
from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import given

from foxtailseam.utils import (
    Address,
    DocumentDecoder,
    DocumentFormat,
    Milliseconds,
    is_address,
)
from foxtailseam.utils.tests._odd_documents import (
    DEPTH,
    EXAMPLES,
    json_documents,
    message_pack_documents,
)

MAX_BYTES = 1_000_000
MAX_LENGTH = 500


@dataclass(frozen=True)
class Part:
    address: Address
    time: Milliseconds = 0


@dataclass(frozen=True)
class Whole:
    parts: tuple[Part, ...]
    note: str = ""


VALID = {"parts": [{"address": "10.0.0.1:80", "time": 5}], "note": "n"}
JSON = DocumentDecoder(Whole, MAX_BYTES)
MESSAGE_PACK = DocumentDecoder(Whole, MAX_BYTES, DocumentFormat.MESSAGE_PACK)


class TestDocumentDecoder:
    @EXAMPLES
    @given(json_documents(VALID))
    def test_any_bytes_give_a_value_or_a_short_problem(self, data):
        result = JSON.decode(data, "name")
        assert result.is_ok() or len(str(result.unwrap_err())) <= MAX_LENGTH

    @EXAMPLES
    @given(message_pack_documents(Whole((Part("10.0.0.1:80"),))))
    def test_any_message_gives_a_value_or_a_short_problem(self, data):
        result = MESSAGE_PACK.decode(data, "name")
        assert result.is_ok() or len(str(result.unwrap_err())) <= MAX_LENGTH

    @pytest.mark.parametrize(
        ("data", "problem"),
        [
            (
                b'{"parts":[{"address":"a"}]}',
                "name.parts[0].address: found 'a', expected IP:PORT",
            ),
            (
                b'{"parts":[{"address":"1.2.3.4:5","time":-1}]}',
                "name.parts[0].time: found -1, expected `float` >= 0.0",
            ),
            (
                b'{"note":"n"}',
                "name: found {'note': 'n'}, expected Object missing required field "
                "`parts`",
            ),
            (
                b"{",
                "name: found b'{', expected Input data was truncated",
            ),
        ],
    )
    def test_the_problem_names_field_value_and_range(self, data, problem):
        assert str(JSON.decode(data, "name").unwrap_err()) == problem

    def test_a_document_that_is_too_long_is_not_decoded(self):
        data = msgspec.json.encode(VALID | {"note": "n" * MAX_BYTES})
        problem = JSON.decode(data, "name").unwrap_err()
        assert problem.expected == f"at most {MAX_BYTES} bytes"

    def test_a_document_that_is_nested_too_deep_names_the_error(self):
        problem = JSON.decode(b'{"a":' * DEPTH, "name").unwrap_err()
        assert problem.expected.startswith("RecursionError")
        assert problem.found.startswith('b\'{"a":')


class TestAddress:
    @pytest.mark.parametrize(
        "text", ["1.2.3.4:5", "0.0.0.0:1", "255.255.255.255:65535", "10.0.0.1:8080"]
    )
    def test_an_address_is_an_ip_and_a_port(self, text):
        assert is_address(text)

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "1.2.3.4",
            "1.2.3.4:",
            "1.2.3.4:0",
            "1.2.3.4:65536",
            "1.2.3.256:5",
            "1.2.3:5",
            "01.2.3.4:5",
            "1.2.3.4:05",
            "1.2.3.4:\u0661",
            "1.2.3.4:5\n",
            "host:5",
            "[::1]:5",
            "1.2.3.4:" + "9" * 5_000,
        ],
        ids=ascii,
    )
    def test_other_texts_are_none(self, text):
        assert not is_address(text)


class TestMemory:
    @pytest.mark.parametrize(
        ("decoder", "data"),
        [
            (JSON, b"[" + b'{"":{}},' * 100_000 + b"{}]"),
            (MESSAGE_PACK, b"\xdd" + (900_000).to_bytes(4, "big") + b"\x90" * 900_000),
        ],
        ids=["JSON", "MessagePack"],
    )
    def test_the_problem_of_a_large_document_takes_no_multiple_of_its_size(
        self, decoder, data
    ):
        tracemalloc.start()
        try:
            assert decoder.decode(data, "name").is_err()
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < 2 * MAX_BYTES

"""Decoding of bytes that others have written or sent."""

import re
import reprlib
from enum import Enum
from typing import Any, Generic, TypeVar

import msgspec
from result import Err, Ok, Result

from foxtailseam.utils._bounded_types import PATTERN_NAMES
from foxtailseam.utils._validation import ValidationProblem

# Characters of a value, and of the other parts of a problem, that are kept.
MAX_FOUND_LENGTH = 80
MAX_PART_LENGTH = 200
# Longest document that is decoded once more, without its type, to show a value of it:
# that takes a multiple of its size.
_MAX_DESCRIBED_BYTES = 262_144
_ELLIPSIS = "..."
# Separates the text of an error of msgspec from the path to the value.
_AT = " - at `$"
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")

T = TypeVar("T")


class DocumentFormat(Enum):
    """Format of a document; the value is the module that decodes it."""

    JSON = msgspec.json
    MESSAGE_PACK = msgspec.msgpack


class DocumentDecoder(Generic[T]):
    """Decodes documents of one type; any bytes give a value or a problem.

    Parameters
    ----------
    document_type : type
        Type of the documents, with bounds of its values where these matter.
    max_bytes : int
        Size of the longest document that is decoded.
    document_format : DocumentFormat
        Format of the documents.
    """

    def __init__(
        self,
        document_type: type[T],
        max_bytes: int,
        document_format: DocumentFormat = DocumentFormat.JSON,
    ):
        self.max_bytes = max_bytes
        self.document_format = document_format
        self._decoder = document_format.value.Decoder(document_type)

    def decode(self, data: bytes, name: str) -> Result[T, ValidationProblem]:
        """Decode a document.

        Parameters
        ----------
        data : bytes
            Any bytes.
        name : str
            Name of the document, for the problem.

        Returns
        -------
        Result
            The value, or the problem with the field that has none; its texts are cut
            short.
        """
        if len(data) > self.max_bytes:
            found, expected = f"{len(data)} bytes", f"at most {self.max_bytes} bytes"
            return Err(ValidationProblem(shorten(name), found, expected))
        try:
            return Ok(self._decoder.decode(data))
        # The decoder runs nothing but conversions of `data`, and a failure of any kind,
        # such as RecursionError where it is nested too deep, means that it has none.
        except Exception as error:
            return Err(self._problem(data, name, error))

    def decode_or_raise(self, data: bytes, name: str) -> T:
        """Return the value of a document, for callers that expect exceptions.

        Parameters
        ----------
        data : bytes
            Any bytes.
        name : str
            Name of the document, for the message.

        Raises
        ------
        msgspec.DecodeError
            If `decode` returns a problem.
        """
        match self.decode(data, name):
            case Ok(value):
                return value
            case Err(problem):
                raise msgspec.DecodeError(str(problem))

    def _problem(self, data: bytes, name: str, error: Exception) -> ValidationProblem:
        text, _, path = str(error).partition(_AT)
        path = path.rstrip("`")
        if not isinstance(error, msgspec.MsgspecError):
            text = f"{type(error).__name__}: {text}"
        for pattern, meaning in PATTERN_NAMES.items():
            text = text.replace(f"`str` matching regex {pattern!r}", meaning)
        return ValidationProblem(
            shorten(name + path),
            self._describe_value(data, path),
            shorten(text.removeprefix("Expected ")),
        )

    def _describe_value(self, data: bytes, path: str) -> str:
        """Return the value at a path, or else the beginning of the document."""
        if len(data) > _MAX_DESCRIBED_BYTES:
            return describe_value(bytes(data[:MAX_FOUND_LENGTH]))
        try:
            value = self.document_format.value.decode(data)
            for field, index in _STEP.findall(path):
                value = value[field] if field else value[int(index)]
        except Exception:
            value = bytes(data[:MAX_FOUND_LENGTH])
        return describe_value(value)


def describe_value(value: Any) -> str:
    """Return a value as Python code, cut short."""
    return shorten(reprlib.repr(value), MAX_FOUND_LENGTH)


def shorten(text: str, max_length: int = MAX_PART_LENGTH) -> str:
    """Return a text of at most `max_length` characters, the end replaced by dots."""
    if len(text) <= max_length:
        return text
    return text[: max_length - len(_ELLIPSIS)] + _ELLIPSIS

"""Strategies of odd documents, for the tests of decoders of foreign input."""

import copy
import struct
from functools import partial

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

# Deeper than any document that is in use, and than the interpreter's stack.
DEPTH = 3_000
DIGITS = 5_000

ODD_TEXTS = (
    "",
    "x" * 100_000,
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:" + "9" * DIGITS,
    "10.0.0." + "1" * DIGITS + ":80",
    "10.0.0.1:\u0661",
    "10.0.0.1",
    "a\r\nb: c",
    "\x00",
)
ODD_NUMBERS = (0, -1, -(2**63), 2**63 - 1, 2**64 - 1, 1e18, 1e300, -1e300, 1e-320)
_ODD_VALUES = (None, True, [], {}, [[]], *ODD_TEXTS, *ODD_NUMBERS)
_JSON_TEXTS = (
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH,
    b"9" * DIGITS,
    b"-" + b"9" * DIGITS,
    b"0." + b"1" * DIGITS,
    b"1e400",
    b"NaN",
    b"Infinity",
    b'"\\ud800"',
    b'"\xff"',
)
_MESSAGE_PACK_TEXTS = (
    b"\x91" * DEPTH + b"\xc0",
    b"\x81\xa1a" * DEPTH + b"\xc0",
    b"\xcb" + struct.pack(">d", float("nan")),
    b"\xcb" + struct.pack(">d", float("inf")),
    b"\xa1\xff",
    b"\xdd\xff\xff\xff\xff",
    b"\xdb\xff\xff\xff\xff",
    b"\xc1",
)

# The same examples in each run, as CI needs it; more are searched by hand.
EXAMPLES = settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def json_documents(valid: object) -> st.SearchStrategy[bytes]:
    """Return a strategy of bytes: arbitrary ones, JSON, changed valid documents."""
    arbitrary = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    )
    encode = msgspec.json.encode
    odd = (*_ODD_VALUES, *map(msgspec.Raw, _JSON_TEXTS))
    return st.one_of(
        st.binary(max_size=200),
        arbitrary.map(partial(_encode_or_skip, encode)),
        st.sampled_from(_JSON_TEXTS),
        _changed_documents(valid, odd, encode),
    )


def message_pack_documents(valid: object) -> st.SearchStrategy[bytes]:
    """Return a strategy of bytes: arbitrary ones and changed valid messages.

    Parameters
    ----------
    valid : object
        Valid message; a data class.
    """
    odd = (*_ODD_VALUES, *map(msgspec.Raw, _MESSAGE_PACK_TEXTS))
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(valid))
    return st.one_of(
        st.binary(max_size=200),
        st.sampled_from(_MESSAGE_PACK_TEXTS),
        _changed_documents(plain, odd, msgspec.msgpack.encode),
    )


@st.composite
def _changed_documents(draw, valid, odd, encode) -> bytes:
    document = copy.deepcopy(valid)
    for _ in range(draw(st.integers(0, 2))):
        path = draw(st.sampled_from(list(_paths(document))))
        # A copy, since the next change may be within it.
        value = copy.deepcopy(draw(st.sampled_from(odd)))
        document = _replaced(document, path, value, draw(st.integers(0, 9)))
    data = encode(document)
    if draw(st.integers(0, 4)) == 0 and data:
        at = draw(st.integers(0, len(data) - 1))
        data = data[:at] + draw(st.binary(max_size=3)) + data[at + 1 :]
    return data


def _encode_or_skip(encode, value) -> bytes:
    try:
        return encode(value)
    except (ValueError, OverflowError):
        return b""


def _paths(document, path=()):
    yield path
    match document:
        case dict():
            for key, value in document.items():
                yield from _paths(value, (*path, key))
        case list():
            for index, value in enumerate(document):
                yield from _paths(value, (*path, index))


def _replaced(document, path, value, choice):
    """Replace what is at a path; in one case of ten, remove it or add a key beside."""
    if not path:
        return value if choice == 0 else {"unknown": value} | _as_dict(document)
    parent = document
    for step in path[:-1]:
        parent = parent[step]
    if choice == 0:
        del parent[path[-1]]
    elif choice == 1 and isinstance(parent, dict):
        parent["unknown"] = value
    else:
        parent[path[-1]] = value
    return document


def _as_dict(document):
    return document if isinstance(document, dict) else {}

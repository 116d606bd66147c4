"""Tests of host processes whose callers do not respect the limits."""

import itertools
import struct

import pytest

from foxtailseam.front import METRICS_PORT
from foxtailseam.front.tests._crowd import (
    Crowd,
    Misbehavior,
    assert_survives,
    numbered,
)

MEMORY_MB = 250
# 300 of these are for connections of callers.
MAX_DESCRIPTORS = 800
CALLERS = 250
# More than a host has descriptors.
MANY_CALLERS = 900
FIELD = b"a:b\r\n"


def head(path, identifier="00000000000000a1", method="POST"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"Foxtailseam-Request-Id: {identifier}\r\n"
        "Foxtailseam-Deadline-Ms: 3000\r\n"
    ).encode()


def one_byte_chunks(path):
    yield head(path) + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = b"1\r\nb\r\n" * 20_000
    while True:
        yield chunks


_PIPELINED = {}


def pipelined(path):
    """Return 20,000 requests; all callers of a test share the bytes."""
    if path not in _PIPELINED:
        _PIPELINED[path] = numbered(
            20_000, lambda identifier: head(path, identifier, "GET") + b"\r\n"
        )
    yield _PIPELINED[path]


def one_byte_short(path):
    yield head(path) + b"Content-Length: 60000\r\n\r\n" + b"b" * 59_999


def far_over_the_limit(path):
    yield head(path) + b"Content-Length: 99000000\r\n\r\n"
    while True:
        yield b"b" * 65_536


def short_fields(path):
    yield head(path) + FIELD * 2_500


def stalled(path):
    yield head(path)


def trickle(path):
    for byte in head(path) * 10:
        yield bytes((byte,))


MISBEHAVIORS = [
    Misbehavior("one-byte chunks", CALLERS, one_byte_chunks),
    Misbehavior("pipelined, never read", CALLERS, pipelined, 0.0, 4_096),
    Misbehavior("stalled in large numbers", MANY_CALLERS, stalled),
    Misbehavior("bodies one byte short", MANY_CALLERS, one_byte_short),
    Misbehavior("bodies far over the limit", CALLERS, far_over_the_limit),
    Misbehavior("short fields", MANY_CALLERS, short_fields),
    Misbehavior("trickle", MANY_CALLERS, trickle, 0.05),
]
TARGETS = {
    "with a route": ("frontend", "/read/x"),
    "without a route": ("frontend", "/none/x"),
    "query of all shards": ("frontend", "/all/x"),
    "readiness": ("readiness", "/-/ready"),
    "metrics": (None, "/metrics"),
}


async def start_host(deployment):
    deployment.limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
    host = await deployment.start_host()
    await host.wait_until_ready()
    return host


class TestMisbehavingCallers:
    # Guards against: the process ends because its event loop does not come round, or
    # takes more memory or descriptors than it may, or answers nobody any more.
    @pytest.mark.parametrize("target", TARGETS)
    @pytest.mark.parametrize("misbehavior", MISBEHAVIORS, ids=str)
    def test_host_survives_and_answers_afterwards(
        self, run_scenario, misbehavior, target
    ):
        async def scenario(deployment):
            host = await start_host(deployment)
            listener, path = TARGETS[target]
            address = host.listen.get(listener, f"{host.address}:{METRICS_PORT}")
            crowd = Crowd(address, misbehavior, path)
            await assert_survives(host, crowd, MEMORY_MB, MAX_DESCRIPTORS)

        run_scenario(scenario)


PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EXCHANGE = b"/foxtailseam.Fleet/Exchange"
DATA, HEADERS, RESET, SETTINGS, PING = 0, 1, 3, 4, 6
END_HEADERS = 4


def frame(kind, flags=0, stream=0, payload=b""):
    return (
        struct.pack(">I", len(payload))[1:]
        + struct.pack(">BBI", kind, flags, stream)
        + payload
    )


def literal(name, value):
    """Return a header field as HPACK's literal without indexing."""
    return b"\x00" + bytes((len(name),)) + name + bytes((len(value),)) + value


CALL_HEADERS = b"".join(
    literal(name, value)
    for name, value in (
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", EXCHANGE),
        (b":authority", b"a"),
        (b"content-type", b"application/grpc+msgpack"),
        (b"te", b"trailers"),
    )
)


def call_frame(stream):
    return frame(HEADERS, END_HEADERS, stream, CALL_HEADERS)


def pings(_path):
    yield PREFACE + frame(SETTINGS)
    flood = frame(PING, payload=b"12345678") * 10_000
    while True:
        yield flood


def empty_settings(_path):
    yield PREFACE
    flood = frame(SETTINGS) * 10_000
    while True:
        yield flood


def calls_that_are_reset(_path):
    yield PREFACE + frame(SETTINGS)
    streams = itertools.count(1, 2)
    while True:
        yield b"".join(
            call_frame(stream) + frame(RESET, 0, stream, b"\0\0\0\x08")
            for stream in itertools.islice(streams, 200)
        )


def calls_without_messages(_path):
    yield PREFACE + frame(SETTINGS)
    yield b"".join(call_frame(stream) for stream in range(1, 180, 2))


def nothing(_path):
    return ()


PEER_MISBEHAVIORS = [
    Misbehavior("pings, never read", 60, pings, 0.0, 4_096),
    Misbehavior("empty settings", 60, empty_settings),
    Misbehavior("calls that are reset", 60, calls_that_are_reset),
    Misbehavior("calls without messages", MANY_CALLERS, calls_without_messages),
    Misbehavior("silent connections", MANY_CALLERS, nothing),
]


class TestMisbehavingPeers:
    # Guards against: what connects to the hosts' port ends the process in these ways.
    @pytest.mark.parametrize("misbehavior", PEER_MISBEHAVIORS, ids=str)
    def test_host_survives_and_answers_afterwards(self, run_scenario, misbehavior):
        async def scenario(deployment):
            host = await start_host(deployment)
            crowd = Crowd(host.listen["control_plane"], misbehavior)
            await assert_survives(host, crowd, MEMORY_MB, MAX_DESCRIPTORS)

        run_scenario(scenario)

"""Steps of callers that break the rules of the interface."""

import contextlib
import socket

from behave import then, when

from features.steps.path_steps import FAMILY

PATH = f"/v1/families/{FAMILY}/search".encode()
START = b"POST " + PATH + b" HTTP/1.1\r\nHost: x\r\n"
SECONDS = 3.0

BYTES = {
    "garbage bytes": b"\x00\xff\xfe garbage\r\n\r\n",
    "an over-long body": START + b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000,
    "an over-long header": START + b"X-Long: " + b"x" * 40_000 + b"\r\n\r\n",
    "a header that never ends": START + b"X-Half",
    "a body that never comes": START + b"Content-Length: 50\r\n\r\n{",
    "a connection that is dropped": START + b"Content-Length: 50\r\n\r\n{",
}


@when("{count:d} bad callers come: {caller}")
def step_bad_callers(context, count, caller):
    host, _, port = context.deployment.hosts[0].callers.rpartition(":")
    context.sockets = []
    for _ in range(count):
        connection = socket.create_connection((host, int(port)), SECONDS)
        context.cleanup.append(connection.close)
        # The entry may close while it is still being sent to.
        with contextlib.suppress(OSError):
            connection.sendall(BYTES[caller])
        if "dropped" in caller:
            connection.close()
        else:
            context.sockets.append(connection)


@then("a bad caller gets {status}")
def step_bad_caller_gets(context, status):
    if status == "nothing":
        return
    replies = [read_status(connection) for connection in context.sockets]
    assert status.encode() in replies, replies


def read_status(connection):
    try:
        return connection.recv(4096).split(b" ")[1]
    except (OSError, IndexError):
        return b""


@then("the slowest answer took at most {milliseconds:d} ms")
def step_slowest(context, milliseconds):
    slowest = max(item.ended - item.started for item in context.load.observations)
    assert slowest <= milliseconds / 1000, slowest

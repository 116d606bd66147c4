"""Steps with callers that send malformed or incomplete requests."""

import contextlib
import socket

from behave import then, when

from features.steps.path_steps import SEARCH_FAMILY

SEARCH_PATH = f"/v1/families/{SEARCH_FAMILY}/search".encode()
REQUEST_START = b"POST " + SEARCH_PATH + b" HTTP/1.1\r\nHost: x\r\n"
SOCKET_TIMEOUT_SECONDS = 3.0

MALFORMED_INPUTS = {
    "invalid bytes": b"\x00\xff\xfe garbage\r\n\r\n",
    "an oversized body": REQUEST_START
    + b"Content-Length: 100000\r\n\r\n"
    + b"x" * 100_000,
    "an oversized header": REQUEST_START + b"X-Long: " + b"x" * 40_000 + b"\r\n\r\n",
    "an incomplete header": REQUEST_START + b"X-Half",
    "a missing body": REQUEST_START + b"Content-Length: 50\r\n\r\n{",
    "a dropped connection": REQUEST_START + b"Content-Length: 50\r\n\r\n{",
}


@when("{count:d} callers send malformed input: {malformed_input}")
def step_send_malformed_input(context, count, malformed_input):
    host, _, port = context.deployment.hosts[0].callers.rpartition(":")
    context.sockets = []
    for _ in range(count):
        connection = socket.create_connection((host, int(port)), SOCKET_TIMEOUT_SECONDS)
        context.cleanup.append(connection.close)
        # The entry may close the connection before everything is sent.
        with contextlib.suppress(OSError):
            connection.sendall(MALFORMED_INPUTS[malformed_input])
        if "dropped" in malformed_input:
            connection.close()
        else:
            context.sockets.append(connection)


@then("one of these callers receives {status}")
def step_one_caller_receives(context, status):
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
def step_slowest_answer(context, milliseconds):
    slowest = max(item.ended - item.started for item in context.load.observations)
    assert slowest <= milliseconds / 1000, slowest

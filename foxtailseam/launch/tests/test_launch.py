"""Tests of the listener that is opened before the rest of the program is imported."""

import asyncio
import socket
import subprocess
import sys

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.http import HttpResponse, Listener
from foxtailseam.launch import open_listener

REQUEST = b"GET /early HTTP/1.1\r\nHost: a.example\r\n\r\n"


class TestOpenListener:
    def test_a_request_sent_before_the_event_loop_runs_is_answered(self):
        listening_socket = open_listener("127.0.0.1:0")
        address = listening_socket.getsockname()
        caller = socket.create_connection(address, 1.0)
        caller.sendall(REQUEST)

        async def serve():
            def answer(call):
                call.respond(HttpResponse(200, (), call.request.target))

            listener = Listener(answer, SystemClock())
            await listener.start("127.0.0.1:0", listening_socket)
            try:
                return await asyncio.to_thread(caller.recv, 1000)
            finally:
                listener.stop()

        with caller:
            caller.settimeout(3.0)
            assert asyncio.run(serve()).endswith(b"/early")

    def test_an_address_in_use_raises(self):
        with open_listener("127.0.0.1:0") as first:
            host, port = first.getsockname()
            with pytest.raises(OSError, match="in use"):
                open_listener(f"{host}:{port}")

    def test_nothing_else_is_imported_before_listening(self):
        code = (
            "import sys, foxtailseam.launch\n"
            "print(*(name for name in sys.modules if name.startswith('foxtailseam')))\n"
            "print('asyncio' in sys.modules)"
        )
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        names, has_asyncio = completed.stdout.splitlines()
        assert set(names.split()) == {
            "foxtailseam",
            "foxtailseam._version",
            "foxtailseam.launch",
            "foxtailseam.launch._sockets",
        }
        assert has_asyncio == "False"

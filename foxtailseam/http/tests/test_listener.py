"""Tests of caller connections over loopback, with a table of invalid requests."""

import asyncio
import errno
import gc
import socket
import time
import tracemalloc
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.http import HttpResponse, Listener, ListenerLimits

HOST_HEADER = b"Host: a.example\r\n"
LIMITS = ListenerLimits(
    header_bytes=600,
    body_bytes=1000,
    header_timeout=timedelta(milliseconds=300),
    body_timeout=timedelta(milliseconds=300),
    idle_timeout=timedelta(milliseconds=400),
)


class RecordingHandler:
    """Handler that records calls and, unless manual, responds with the target."""

    def __init__(self, is_manual=False):
        self.is_manual = is_manual
        self.calls = []
        self.disconnected = []

    def __call__(self, call):
        self.calls.append(call)
        call.on_disconnect = lambda: self.disconnected.append(call)
        if not self.is_manual:
            call.respond(HttpResponse(200, (), call.request.target))


def run(scenario, is_manual=False, limits=LIMITS):
    """Run a scenario against a listener; return its recording handler."""

    async def main():
        handler = RecordingHandler(is_manual)
        listener = Listener(handler, SystemClock())
        listener.limits = limits
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        await listener.start(f"127.0.0.1:{port}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            await asyncio.wait_for(scenario(reader, writer, handler, listener), 5)
        finally:
            writer.close()
            listener.stop()
        return handler

    return asyncio.run(main())


async def read_all(reader):
    return await asyncio.wait_for(reader.read(-1), 3)


class TestInvalidRequests:
    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (b"nonsense\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\n" + HOST_HEADER + HOST_HEADER + b"\r\n", 400),
            (b"GET http://a.example/ HTTP/1.1\r\n" + HOST_HEADER + b"\r\n", 400),
            (
                b"POST / HTTP/1.1\r\n"
                + HOST_HEADER
                + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (
                b"POST / HTTP/1.1\r\n"
                + HOST_HEADER
                + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                400,
            ),
            (
                b"POST / HTTP/1.1\r\n"
                + HOST_HEADER
                + b"Transfer-Encoding: gzip\r\n\r\nabc",
                400,
            ),
            (b"GET /" + b"a" * 700 + b" HTTP/1.1\r\n" + HOST_HEADER + b"\r\n", 431),
            (b"GET / HTTP/1.1\r\nX: " + b"a" * 700, 431),
            (
                b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: 1001\r\n\r\n",
                413,
            ),
            (
                b"POST / HTTP/1.1\r\n"
                + HOST_HEADER
                + b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n"
                + b"a" * 1001
                + b"\r\n",
                413,
            ),
            (b"GET / HTTP/1.1\r\nHost:", 408),
            (
                b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: 5\r\n\r\nab",
                408,
            ),
        ],
    )
    def test_rejected_once_and_never_passed_to_the_handler(self, sent, status):
        async def scenario(reader, writer, handler, listener):
            writer.write(sent)
            response = await read_all(reader)
            assert response.startswith(b"HTTP/1.1 %d " % status)
            assert response.count(b"HTTP/1.1") == 1
            assert b"Connection: close" in response

        assert run(scenario).calls == []


class TestRequests:
    @pytest.mark.parametrize(
        ("body", "framing"),
        [
            (b"hello", b"Content-Length: 5\r\n\r\nhello"),
            (
                b"hello",
                b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
            ),
            (b"", b"Content-Length: 0\r\n\r\n"),
        ],
    )
    @pytest.mark.parametrize("step", [1, 7, 1000])
    def test_body_is_complete_for_any_framing_and_write_size(self, body, framing, step):
        async def scenario(reader, writer, handler, listener):
            sent = b"POST /x?y=%20z HTTP/1.1\r\n" + HOST_HEADER + framing
            for at in range(0, len(sent), step):
                writer.write(sent[at : at + step])
                await asyncio.sleep(0.001)
            response = await reader.readuntil(b"/x?y=%20z")
            assert response.startswith(b"HTTP/1.1 200 OK\r\n")

        (call,) = run(scenario).calls
        assert call.request.method == b"POST"
        assert call.request.target == b"/x?y=%20z"
        assert call.request.body == body

    def test_pipelined_responses_are_in_order(self):
        async def scenario(reader, writer, handler, listener):
            for number in range(20):
                writer.write(b"GET /%d HTTP/1.1\r\n" % number + HOST_HEADER + b"\r\n")
            for number in range(20):
                await reader.readuntil(b"\r\n\r\n/%d" % number)

        assert len(run(scenario).calls) == 20

    def test_only_one_pipelined_request_is_served_at_a_time(self):
        async def scenario(reader, writer, handler, listener):
            writer.write((b"GET /a HTTP/1.1\r\n" + HOST_HEADER + b"\r\n") * 2)
            await asyncio.sleep(0.05)
            assert len(handler.calls) == 1
            handler.calls[0].respond(HttpResponse(200))
            await asyncio.sleep(0.05)
            assert len(handler.calls) == 2

        run(scenario, is_manual=True)

    def test_error_follows_the_outstanding_response(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(b"GET /a HTTP/1.1\r\n" + HOST_HEADER + b"\r\nnonsense\r\n\r\n")
            await asyncio.sleep(0.05)
            handler.calls[0].respond(HttpResponse(200, (), b"first"))
            response = await read_all(reader)
            assert response.index(b"first") < response.index(b"HTTP/1.1 400")

        run(scenario, is_manual=True)

    def test_expect_100_continue(self):
        async def scenario(reader, writer, handler, listener):
            head = b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
            writer.write(b"POST /a HTTP/1.1\r\n" + HOST_HEADER + head)
            assert await reader.readuntil(b"\r\n\r\n") == (
                b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            writer.write(b"ok")
            await reader.readuntil(b"/a")

        run(scenario)

    def test_head_response_has_no_body(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(
                b"HEAD /a HTTP/1.1\r\nConnection: close\r\n" + HOST_HEADER + b"\r\n"
            )
            assert (await read_all(reader)).endswith(b"\r\n\r\n")

        run(scenario)


class TestConnections:
    @pytest.mark.parametrize("kind", ["close", "reset", "half-close"])
    def test_disconnect_is_detected_immediately(self, kind):
        async def scenario(reader, writer, handler, listener):
            writer.write(b"GET /a HTTP/1.1\r\n" + HOST_HEADER + b"\r\n")
            await asyncio.sleep(0.05)
            if kind == "reset":
                writer.transport.abort()
            elif kind == "half-close":
                writer.write_eof()
            else:
                writer.close()
            await asyncio.sleep(0.05)
            assert len(handler.disconnected) == 1
            handler.calls[0].respond(HttpResponse(200))
            assert listener.in_flight == 0

        run(scenario, is_manual=True)

    def test_idle_connection_is_closed_without_response(self):
        async def scenario(reader, writer, handler, listener):
            assert await read_all(reader) == b""

        run(scenario)

    def test_connection_with_a_pending_response_is_not_idle(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(b"GET /a HTTP/1.1\r\n" + HOST_HEADER + b"\r\n")
            await asyncio.sleep(0.8)
            handler.calls[0].respond(HttpResponse(200, (), b"done"))
            await reader.readuntil(b"done")

        run(scenario, is_manual=True)

    def test_draining_closes_connections_after_their_response(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(b"GET /a HTTP/1.1\r\n" + HOST_HEADER + b"\r\n")
            await asyncio.sleep(0.05)
            listener.drain()
            await listener.stop_accepting()
            handler.calls[0].respond(HttpResponse(200, (), b"done"))
            response = await read_all(reader)
            assert b"Connection: close" in response
            assert response.endswith(b"done")

        run(scenario, is_manual=True)

    def test_network_delay_includes_the_handshake_of_a_new_connection(self):
        async def scenario(reader, writer, handler, listener):
            for _ in range(2):
                writer.write(b"GET /a HTTP/1.1\r\n" + HOST_HEADER + b"\r\n")
                await reader.readuntil(b"/a")

        first, second = run(scenario).calls
        assert 0 < second.request.network_delay < 0.5
        assert first.request.network_delay == pytest.approx(
            2 * second.request.network_delay
        )


class TestManyConnections:
    # Guards against: connections that are accepted in one turn of the event loop are
    # kept beyond the limit, and take the descriptors that searchers need.
    def test_those_that_are_accepted_together_are_bounded(self):
        async def scenario(reader, writer, handler, listener):
            address = writer.get_extra_info("peername")
            # The kernel accepts them while the event loop does not turn.
            sockets = [socket.create_connection(address) for _ in range(60)]
            await asyncio.sleep(0.1)
            is_open = []
            for sock in sockets:
                sock.setblocking(False)
                try:
                    is_open.append(bool(sock.recv(1)))
                except BlockingIOError:
                    is_open.append(True)
                sock.close()
            assert sum(is_open) <= 20
            # Those that have been idle longest are the first ones.
            assert is_open == [False] * 40 + [True] * 20

        run(scenario, limits=replace(LIMITS, connections=20))


class TestStopping:
    """A caller whose connection was made before the stop gets an answer."""

    @pytest.mark.parametrize("is_accepted", [True, False])
    def test_first_request_of_a_connection_made_before_the_stop_is_answered(
        self, is_accepted
    ):
        async def scenario(_reader, writer, _handler, listener):
            address = writer.get_extra_info("peername")
            with socket.create_connection(address) as caller:
                if is_accepted:
                    await asyncio.sleep(0.05)
                # Otherwise the connection waits in the kernel's queue.
                listener.drain()
                await listener.stop_accepting()
                await asyncio.sleep(0.05)
                caller.setblocking(False)
                caller.sendall(b"GET /1 HTTP/1.1\r\n" + HOST_HEADER + b"\r\n")
                loop = asyncio.get_running_loop()
                response = await asyncio.wait_for(loop.sock_recv(caller, 1000), 3)
            assert response.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in response.lower()

        run(scenario)

    def test_a_host_without_free_descriptors_stops_all_the_same(self):
        async def scenario(_reader, writer, _handler, listener):
            def fail():
                raise OSError(errno.EMFILE, "too many open files")

            listener._socket = SimpleNamespace(accept=fail)
            await listener.stop_accepting()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*writer.get_extra_info("peername"))

        run(scenario)

    def test_idle_connections_that_were_used_are_closed_at_once(self):
        async def scenario(reader, writer, _handler, listener):
            writer.write(b"GET /1 HTTP/1.1\r\n" + HOST_HEADER + b"\r\n")
            await reader.readuntil(b"\r\n\r\n/1")
            await listener.stop_accepting()
            assert await asyncio.wait_for(reader.read(), 0.2) == b""

        run(scenario)

    def test_unused_connections_are_closed_in_the_end(self):
        async def scenario(reader, _writer, _handler, listener):
            await listener.stop_accepting()
            listener.close_idle()
            assert await asyncio.wait_for(reader.read(), 0.2) == b""

        run(scenario)

    def test_a_request_that_has_not_arrived_whole_is_told_that_it_did_not_run(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(b"POST / HTTP/1.1\r\n" + HOST_HEADER)
            writer.write(b"Content-Length: 5\r\n\r\nab")
            await asyncio.sleep(0.05)
            listener.drain()
            await listener.stop_accepting()
            listener.close_idle()
            assert listener.unfinished == 1
            listener.reject_incomplete()
            writer.write(b"cde")
            response = await read_all(reader)
            assert response.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: 0.05" in response
            writer.close()
            await asyncio.sleep(0.05)
            assert listener.unfinished == 0

        assert run(scenario).calls == []

    def test_a_response_that_is_not_sent_yet_is_unfinished(self):
        size = 16_000_000

        async def scenario(reader, writer, handler, listener):
            writer.transport.pause_reading()
            writer.write(b"GET / HTTP/1.1\r\n" + HOST_HEADER + b"\r\n")
            await asyncio.sleep(0.05)
            listener.drain()
            handler.calls[0].respond(HttpResponse(200, (), b"r" * size))
            await asyncio.sleep(0.05)
            assert (listener.in_flight, listener.unfinished) == (0, 1)
            writer.transport.resume_reading()
            assert len(await read_all(reader)) > size
            assert listener.unfinished == 0

        run(scenario, is_manual=True)

    def test_the_last_pipelined_response_closes_the_connection(self):
        async def scenario(reader, writer, handler, listener):
            for target in (b"/1", b"/2"):
                writer.write(
                    b"GET " + target + b" HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"
                )
            writer.write(b"POST /3 HTTP/1.1\r\n" + HOST_HEADER)
            await asyncio.sleep(0.05)
            listener.drain()
            for number in range(2):
                handler.calls[number].respond(HttpResponse(200))
                # The next request is served in a later turn of the connection.
                await asyncio.sleep(0.05)
            writer.write(b"Content-Length: 1\r\n\r\nx")
            await asyncio.sleep(0.05)
            handler.calls[2].respond(HttpResponse(200))
            responses = await read_all(reader)
            assert responses.count(b"HTTP/1.1 200") == 3
            assert responses.count(b"Connection: close") == 1

        run(scenario, is_manual=True)


class TestRestOfARejectedRequest:
    HEAD = b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: 1001\r\n\r\n"

    def test_it_does_not_reset_the_connection(self):
        async def scenario(reader, writer, handler, listener):
            sock = socket.create_connection(writer.get_extra_info("peername"))

            def send_on():
                with sock:
                    sock.sendall(self.HEAD)
                    for _ in range(5):
                        time.sleep(0.02)
                        sock.sendall(b"x" * 100)
                    return sock.recv(1000)

            response = await asyncio.to_thread(send_on)
            assert response.startswith(b"HTTP/1.1 413")

        run(scenario)

    def test_a_connection_that_stays_open_is_closed_soon(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(self.HEAD)
            await read_all(reader)
            assert listener.unfinished == 1
            await asyncio.sleep(1.0)
            assert listener.unfinished == 0

        run(scenario)


class TestMemory:
    def test_body_over_the_buffer_limit_gets_503(self):
        async def scenario(reader, writer, handler, listener):
            body = b"b" * 400
            request = (
                b"POST /%d HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: 400\r\n\r\n"
            )
            writer.write(request % 1 + body + request % 2 + body)
            while len(handler.calls) < 1 or listener.buffered_bytes < 800:
                await asyncio.sleep(0.01)
            port = peer_port(writer)
            second_reader, second_writer = await asyncio.open_connection(
                "127.0.0.1", port
            )
            second_writer.write(request % 3 + body)
            response = await read_all(second_reader)
            assert response.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: 1\r\n" in response
            second_writer.close()
            # Responses and disconnects both release buffer space.
            handler.calls[0].respond(HttpResponse(200))
            assert listener.buffered_bytes == 400
            writer.close()
            while listener.buffered_bytes:
                await asyncio.sleep(0.01)

        handler = run(
            scenario, is_manual=True, limits=replace(LIMITS, buffered_bytes=900)
        )
        assert [call.request.target for call in handler.calls] == [b"/1", b"/2"]

    def test_headers_over_the_buffer_limit_get_503(self):
        async def scenario(_reader, writer, handler, listener):
            request = b"GET /%d HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"
            writer.write(request % 1 + request % 2)
            while len(handler.calls) < 1 or listener.header_space.reserved < 400:
                await asyncio.sleep(0.01)
            reserved = listener.header_space.reserved
            second_reader, second_writer = await asyncio.open_connection(
                "127.0.0.1", peer_port(writer)
            )
            # Enough without its end.
            second_writer.write(b"GET /3 HTTP/1.1\r\n" + HOST_HEADER * 2)
            response = await read_all(second_reader)
            assert response.startswith(b"HTTP/1.1 503 ")
            second_writer.close()
            handler.calls[0].respond(HttpResponse(200))
            assert listener.header_space.reserved == reserved / 2
            writer.close()
            while listener.header_space.reserved:
                await asyncio.sleep(0.01)

        handler = run(
            scenario, is_manual=True, limits=replace(LIMITS, buffered_header_bytes=600)
        )
        assert [call.request.target for call in handler.calls] == [b"/1", b"/2"]


CHUNKED_REQUEST = (
    b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Transfer-Encoding: chunked\r\n\r\n"
)


class TestEndlessFraming:
    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"0\r\n", b"X-A: b\r\n"),
            (b"0\r\nX-A: ", b"a" * 8),
            (b"2;a=", b"b" * 8),
            (b"2\r\nab\r\n2;a=", b"b" * 8),
        ],
        ids=["trailers", "trailer line", "extension", "second extension"],
    )
    def test_around_the_body_it_is_rejected(self, start, repeated):
        async def scenario(reader, writer, handler, listener):
            writer.write(CHUNKED_REQUEST + start)
            for _ in range(100):
                writer.write(repeated * 8)
                await asyncio.sleep(0)
            assert (await reader.readline()).startswith(b"HTTP/1.1 431 ")
            assert not handler.calls
            writer.close()
            while listener.header_space.reserved:
                await asyncio.sleep(0.01)

        run(scenario)

    def test_a_trailer_is_no_header(self):
        async def scenario(reader, writer, handler, _listener):
            writer.write(CHUNKED_REQUEST + b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            request = handler.calls[0].request
            assert request.body == b"ok"
            assert b"X-Late" not in [name for name, _ in request.headers]

        run(scenario)


class TestMemoryOfRequests:
    BODY_BYTES = 60_000
    REQUESTS = 8

    def measure(self, request, is_answered):
        """Send a request on each of some connections; return what they take."""

        async def scenario(_reader, writer, _handler, listener):
            targets, writers = [], []

            def answer(call):
                targets.append(call.request.target)
                call.respond(HttpResponse(200))

            listener.handler = answer
            gc.collect()
            gc.disable()
            tracemalloc.start()
            for _ in range(self.REQUESTS):
                _, other = await asyncio.open_connection("127.0.0.1", peer_port(writer))
                writers.append(other)
                other.write(request)
                await other.drain()
                await asyncio.sleep(0.02)
            received = self.REQUESTS * self.BODY_BYTES
            while listener.buffered_bytes < received and not is_answered:
                await asyncio.sleep(0.01)
            assert len(targets) == self.REQUESTS * is_answered
            sizes.append(tracemalloc.get_traced_memory()[0])
            for other in writers:
                other.transport.abort()
            await asyncio.sleep(0.05)
            sizes.append(tracemalloc.get_traced_memory()[0])
            tracemalloc.stop()
            gc.enable()

        sizes = []
        limits = ListenerLimits(body_timeout=timedelta(seconds=5))
        run(scenario, limits=limits)
        return sizes

    def test_an_idle_connection_does_not_keep_its_last_request(self):
        head = b"POST / HTTP/1.1\r\n" + HOST_HEADER + b"Content-Length: %d\r\n\r\n"
        request = head % self.BODY_BYTES + b"b" * self.BODY_BYTES
        idle, _ = self.measure(request, is_answered=True)
        assert idle < 3 * self.BODY_BYTES

    def test_a_body_in_small_chunks_takes_no_multiple_of_its_size(self):
        body = b"2\r\nab\r\n" * (self.BODY_BYTES // 2)
        waiting, lost = self.measure(CHUNKED_REQUEST + body, is_answered=False)
        assert waiting < 2 * self.REQUESTS * self.BODY_BYTES
        assert lost < 3 * self.BODY_BYTES


class TestCallersThatDoNotRead:
    # More than the kernel takes on a connection.
    BODY = b"b" * 12_000_000
    REQUEST = b"GET / HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"

    def test_no_further_request_is_served_until_the_response_is_read(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(self.REQUEST * 6)
            while not handler.calls:
                await asyncio.sleep(0.01)
            handler.calls[0].respond(HttpResponse(200, (), self.BODY))
            await asyncio.sleep(0.1)
            assert len(handler.calls) == 1
            assert 0 < listener.unsent_space.reserved < len(self.BODY)
            await reader.readexactly(len(self.BODY))
            while len(handler.calls) < 2:
                await asyncio.sleep(0.01)
            while listener.unsent_space.reserved:
                await asyncio.sleep(0.01)

        run(scenario, is_manual=True)

    def test_a_response_without_space_is_replaced_by_502(self):
        async def scenario(_reader, writer, handler, listener):
            writer.write(self.REQUEST)
            second_reader, second_writer = await asyncio.open_connection(
                "127.0.0.1", peer_port(writer)
            )
            second_writer.write(self.REQUEST)
            while len(handler.calls) < 2:
                await asyncio.sleep(0.01)
            for call in handler.calls:
                call.respond(HttpResponse(200, (), self.BODY))
            response = await second_reader.readuntil(b"\r\n\r\n")
            assert response.startswith(b"HTTP/1.1 502 ")
            writer.transport.abort()
            while listener.unsent_space.reserved:
                await asyncio.sleep(0.01)
            second_writer.close()

        limits = replace(LIMITS, unsent_bytes=len(self.BODY))
        run(scenario, is_manual=True, limits=limits)

    def test_the_connection_is_closed_after_the_response_timeout(self):
        async def scenario(reader, writer, handler, listener):
            writer.write(self.REQUEST)
            while not handler.calls:
                await asyncio.sleep(0.01)
            handler.calls[0].respond(HttpResponse(200, (), self.BODY))
            while listener.unsent_space.reserved:
                await asyncio.sleep(0.01)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(len(self.BODY))

        timeout = timedelta(milliseconds=300)
        limits = replace(LIMITS, response_timeout=timeout)
        run(scenario, is_manual=True, limits=limits)


def peer_port(writer):
    return writer.get_extra_info("peername")[1]


class TestFailingHandler:
    @pytest.mark.parametrize("response", [None, HttpResponse(200, ((b"X", "text"),))])
    def test_its_call_is_answered_and_the_connection_goes_on(self, response):
        """Without a response the handler raises; the other one can't be written."""
        errors = []

        async def scenario(reader, writer, handler, listener):
            def fail(call):
                if response is None:
                    raise ValueError("brought about by the test")
                call.respond(response)

            listener.handler, listener.on_error = fail, errors.append
            request = b"GET /first HTTP/1.1\r\n" + HOST_HEADER + b"\r\n"
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 502 ")
            listener.handler = handler
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")

        run(scenario)
        assert len(errors) == 1

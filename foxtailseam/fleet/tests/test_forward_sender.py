"""Tests of forwarded requests between two hosts over loopback."""

import asyncio
import contextlib
import random
import socket
import sys

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.fleet import ChannelForwardSender, _rpc
from foxtailseam.fleet._forward_sender import SILENCE_SECONDS
from foxtailseam.forwarding import (
    ForwardedRequest,
    ForwardedResponse,
    PeerAnswered,
    PeerFailed,
    Unavailability,
)
from foxtailseam.logs import LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.supervision import FailureLog, Supervisor
from foxtailseam_bench.relay import TcpRelays

REQUEST = ForwardedRequest(
    "127.0.0.1:1",
    "d1",
    b"POST",
    b"/book/x?y=1",
    ((b"Host", b"a.example"), (b"X-Bytes", b"\xff\x00")),
    b"\x00body\xff",
    elapsed_ms=2.5,
    network_ms=6.0,
    version=3,
    attempts=2,
)


class Servicer:
    """Serves forwarded requests after `seconds`; None to never answer.

    With `fails`, an error ends each request at once.
    """

    def __init__(self, seconds=0.0):
        self.seconds = seconds
        self.fails = False
        self.requests = []
        self.cancelled = asyncio.Event()

    async def forward(self, request):
        self.requests.append(request)
        if self.fails:
            raise ValueError("brought about by the test")
        try:
            if self.seconds is None:
                await asyncio.Event().wait()
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return ForwardedResponse(200, ((b"Stamp", b"s"),), b"\x00records\xff")


def supervisor(clock):
    log = LogWriter(sys.stderr.fileno(), "host", clock)
    failures = FailureLog(log, Metrics(), clock)
    return Supervisor(failures, clock, random.Random(1))


class OldHandlers(_rpc._Handlers):
    """Handlers of a release that knows no forwarding."""

    def __mapping__(self):
        mapping = super().__mapping__()
        del mapping[_rpc.FORWARD_PATH]
        return mapping


@contextlib.contextmanager
def open_relay(target):
    """Yield relays and the address at which they relay to `target`."""
    relays = TcpRelays()
    try:
        address = free_address()
        relays.add(address, target)
        yield relays, address
    finally:
        relays.close()


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario with a servicer and a sender."""

    def run(scenario, seconds=0.0):
        async def main():
            servicer = Servicer(seconds)
            address = free_address()
            stop = await _rpc.serve(address, servicer, lambda *_: None)
            clock = SystemClock()
            sender = ChannelForwardSender(clock, supervisor(clock))
            try:
                await asyncio.wait_for(scenario(servicer, sender, address, stop), 10)
            finally:
                sender.close()
                await stop()

        asyncio.run(main())

    return run


async def send(sender, address):
    result = asyncio.Future()
    sender.send(address, REQUEST, result.set_result)
    return await result


class TestChannelForwardSender:
    def test_request_and_response_arrive_unchanged(self, run_scenario):
        async def scenario(servicer, sender, address, stop):
            result = await send(sender, address)
            assert servicer.requests == [REQUEST]
            assert result == PeerAnswered(
                ForwardedResponse(200, ((b"Stamp", b"s"),), b"\x00records\xff")
            )

        run_scenario(scenario)

    def test_many_requests_share_one_connection(self, run_scenario):
        async def scenario(servicer, sender, address, stop):
            results = await asyncio.gather(*(send(sender, address) for _ in range(20)))
            assert all(isinstance(item, PeerAnswered) for item in results)
            assert len(sender._channels) == 1

        run_scenario(scenario, 0.02)

    def test_cancelling_reaches_the_other_host(self, run_scenario):
        async def scenario(servicer, sender, address, stop):
            pending = sender.send(address, REQUEST, lambda result: None)
            while not servicer.requests:
                await asyncio.sleep(0.01)
            pending.cancel()
            async with asyncio.timeout(0.5):
                await servicer.cancelled.wait()

        run_scenario(scenario, None)

    def test_a_result_that_is_ready_is_not_reported_after_cancelling(
        self, run_scenario
    ):
        async def scenario(servicer, sender, address, stop):
            results = []

            def cancel_second(result):
                results.append(result)
                pending.cancel()

            # Both calls end in the same turn of the event loop.
            sender.send(address, REQUEST, cancel_second)
            pending = sender.send(address, REQUEST, results.append)
            await asyncio.sleep(0.3)
            assert len(results) == 1

        run_scenario(scenario)

    def test_a_host_that_is_not_there_has_not_run_the_request(self, run_scenario):
        async def scenario(servicer, sender, address, stop):
            result = await send(sender, free_address())
            assert result == PeerFailed(Unavailability.UNREACHABLE, sent=False)

        run_scenario(scenario)

    def test_a_host_that_breaks_off_may_have_run_the_request(self, run_scenario):
        async def scenario(servicer, sender, address, stop):
            task = asyncio.create_task(send(sender, address))
            while not servicer.requests:
                await asyncio.sleep(0.01)
            await stop()
            channel = sender._channels[address].channel
            channel._channel._protocol.processor.connection._transport.abort()
            assert await task == PeerFailed(Unavailability.LOST, sent=True)

        run_scenario(scenario, None)

    def test_a_request_that_fails_at_the_other_host_does_not_break_off_others(
        self, run_scenario
    ):
        async def scenario(servicer, sender, address, stop):
            running = asyncio.create_task(send(sender, address))
            while not servicer.requests:
                await asyncio.sleep(0.01)
            servicer.fails = True
            assert await send(sender, address) == PeerFailed(
                Unavailability.LOST, sent=True
            )
            assert isinstance(await running, PeerAnswered)

        run_scenario(scenario, 0.3)

    def test_a_connection_that_fell_silent_is_not_used_again(self, run_scenario):
        async def scenario(servicer, sender, address, stop):
            with open_relay(address) as (relays, relay):
                assert isinstance(await send(sender, relay), PeerAnswered)
                relays.silence_open()
                overdue = sender.send(relay, REQUEST, lambda result: None)
                await asyncio.sleep(SILENCE_SECONDS + 0.1)
                # The deadline of the request.
                overdue.cancel()
                async with asyncio.timeout(0.5):
                    assert isinstance(await send(sender, relay), PeerAnswered)

        run_scenario(scenario)

    def test_a_request_that_its_caller_leaves_does_not_end_the_connection(
        self, run_scenario
    ):
        async def scenario(servicer, sender, address, stop):
            with open_relay(address) as (relays, relay):
                running = asyncio.create_task(send(sender, relay))
                left = sender.send(relay, REQUEST, lambda result: None)
                await asyncio.sleep(0.1)
                left.cancel()
                assert isinstance(await running, PeerAnswered)
                assert isinstance(await send(sender, relay), PeerAnswered)
                assert relays.opened == 1

        run_scenario(scenario, 0.3)

    def test_requests_in_progress_keep_a_connection_on_which_another_was_overdue(
        self, run_scenario
    ):
        async def scenario(servicer, sender, address, stop):
            running = asyncio.create_task(send(sender, address))
            overdue = sender.send(address, REQUEST, lambda result: None)
            await asyncio.sleep(SILENCE_SECONDS + 0.1)
            overdue.cancel()
            assert isinstance(await running, PeerAnswered)

        run_scenario(scenario, SILENCE_SECONDS + 0.4)

    def test_a_host_of_an_earlier_release_has_not_run_the_request(
        self, run_scenario, monkeypatch
    ):
        monkeypatch.setattr(_rpc, "_Handlers", OldHandlers)

        async def scenario(servicer, sender, address, stop):
            result = await send(sender, address)
            assert result == PeerFailed(Unavailability.UNSUPPORTED, sent=False)

        run_scenario(scenario)

    def test_an_unforeseen_error_gives_a_result(self, run_scenario):
        async def scenario(_servicer, sender, address, _stop):
            def fail(_address):
                raise ValueError("brought about by the test")

            sender._choose_channel = fail
            result = await send(sender, address)
            assert result == PeerFailed(Unavailability.LOST, sent=True)

        run_scenario(scenario)

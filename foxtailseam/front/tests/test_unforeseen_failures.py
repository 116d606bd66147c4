"""Tests of host processes in which a step fails in a way that nobody foresaw."""

import asyncio
import socket

import pytest
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from foxtailseam.codecs import MessagePackCodec
from foxtailseam.fleet import _rpc
from foxtailseam.fleet._messages import MemberExchange
from foxtailseam.front.tests._deployment import gather_route
from foxtailseam_bench.failing_host import PROBLEM
from foxtailseam_bench.platform_deployment import eventually

# The longest backoff of a background task, and the time to apply a change.
RESUMED_SECONDS = 5.0
# Several checks and rounds of background work.
OBSERVED_SECONDS = 3.0


def failures(deployment, number=1):
    return [e for e in deployment.events(number) if e.get("problem") == PROBLEM]


async def check_work_goes_on(deployment, host, hosts):
    """Check that a change is applied and that all hosts know one another."""
    deployment.configure(gather_route(path_prefix="/new/"))

    async def is_up_to_date():
        assert host.process.returncode is None
        status, _, _ = await host.get("/new/q")
        return status == 200 and (await host.metrics())["hosts"] == hosts

    await eventually(is_up_to_date, RESUMED_SECONDS)


class TestBackgroundWork:
    @pytest.mark.parametrize(
        "method",
        [
            "foxtailseam.platform:PlatformStore.watch",
            "foxtailseam.fleet._gossip:Gossip.request",
            "foxtailseam.fleet._controller:FleetController._update_position",
            "foxtailseam.catalogue:Catalogue.remove_expired",
            "foxtailseam.front:ConfigurationManager._apply_entry",
        ],
    )
    def test_a_host_serves_on_and_begins_the_work_again(self, run_scenario, method):
        async def scenario(deployment):
            first = await deployment.start_host(1)
            await first.wait_until_ready()
            seeds = (first.listen["control_plane"],)
            host = await deployment.start_host(2, seeds, failing=(method, 2))
            await host.wait_until_ready()
            await asyncio.sleep(OBSERVED_SECONDS)
            await check_work_goes_on(deployment, host, hosts=2)
            assert failures(deployment, 2)

        run_scenario(scenario)


class TestRequests:
    @pytest.mark.parametrize(
        "method",
        [
            "foxtailseam.front:FrontEnd._serve_route",
            "foxtailseam.front:ResponseBuilder.merged",
        ],
    )
    def test_a_request_whose_handling_fails_is_answered_at_once(
        self, run_scenario, method
    ):
        async def scenario(deployment):
            host = await deployment.start_host(failing=(method, 1))
            await host.wait_until_ready()
            async with asyncio.timeout(1.0):
                status, headers, _ = await host.get("/all/q")
            assert status == 502
            assert "retry-after" not in headers
            assert (await host.get("/all/q"))[0] == 200
            assert (await host.metrics())["requests_in_flight"] == 0
            await asyncio.sleep(0.5)
            assert len(failures(deployment)) == 1

        run_scenario(scenario)

    @pytest.mark.parametrize(
        ("path", "expected", "runs"), [("/book/x", 502, 1), ("/read/x", 200, 2)]
    )
    def test_a_response_whose_handling_fails_is_of_a_request_that_ran(
        self, run_scenario, path, expected, runs
    ):
        method = "foxtailseam.dispatch._call:ServiceCall._on_response"

        async def scenario(deployment):
            host = await deployment.start_host(failing=(method, 1))
            await host.wait_until_ready()
            async with asyncio.timeout(0.5):
                status, _, _ = await host.get(path, "POST")
            assert status == expected
            assert sum(len(s.runs) for s in deployment.searchers.values()) == runs
            assert (await host.get(path, "POST"))[0] == 200
            metrics = await host.metrics()
            assert metrics["requests_in_flight"] == 0
            assert metrics["callback_failures_total"] == 1

        run_scenario(scenario)


class SilentPeer:
    """Ends each gossip call with status 0 and no message."""

    def __init__(self):
        self.calls = 0

    def __mapping__(self):
        return {
            _rpc.EXCHANGE_PATH: Handler(
                self._exchange, Cardinality.UNARY_STREAM, MemberExchange, MemberExchange
            )
        }

    async def _exchange(self, stream):
        self.calls += 1
        await stream.recv_message()


class TestPeers:
    def test_a_gossip_call_that_ends_without_a_message_has_failed(self, run_scenario):
        async def scenario(deployment):
            peer = SilentPeer()
            server = Server([peer], codec=MessagePackCodec())
            listener = socket.create_server(("127.0.0.1", 0))
            await server.start(sock=listener)
            seeds = (f"127.0.0.1:{listener.getsockname()[1]}",)
            host = await deployment.start_host(seeds=seeds)
            await host.wait_until_ready()
            await asyncio.sleep(OBSERVED_SECONDS)
            assert host.process.returncode is None
            assert (await host.get("/all/q"))[0] == 200
            assert peer.calls > 1
            assert {"peer-unreachable"} == {
                event["name"]
                for event in deployment.events()
                if event.get("peer") in seeds
            }
            server.close()

        run_scenario(scenario)

"""Tests of the listeners of a host that are not for callers."""

import asyncio

import pytest

from foxtailseam.front.tests._deployment import single_route

# Connections above which they could take the descriptors that searchers need.
MAX_CONNECTIONS = 100
OPENED = 150


class TestManyConnections:
    @pytest.mark.parametrize("use", ["idle", "sends a body"])
    def test_the_readiness_port_keeps_few_of_them(self, run_scenario, use):
        async def scenario(deployment):
            deployment.configure(single_route("read", "idempotent"))
            host = await deployment.start_host()
            await host.wait_until_ready()
            address, _, port = host.listen["readiness"].rpartition(":")
            head = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
            connections = []
            for _ in range(OPENED):
                reader, writer = await asyncio.open_connection(address, int(port))
                if use != "idle":
                    writer.write(head + b"b" * 150_000)
                connections.append((reader, writer))
            await asyncio.sleep(1.0)
            is_open = [not reader.at_eof() for reader, _ in connections]
            for _, writer in connections:
                writer.transport.abort()
            assert sum(is_open) <= MAX_CONNECTIONS
            assert (await host.ask("readiness", "/-/ready"))[0] == 200

        run_scenario(scenario)

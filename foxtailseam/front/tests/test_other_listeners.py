"""Tests of the listeners of a host that are not for callers."""

import asyncio

import pytest

from foxtailseam.front.tests._deployment import single_route

# Connections above which they could take the descriptors that searchers need.
MAX_CONNECTIONS = 100
OPENED = 150
# Time in which the rest of what a connection has received is read, in seconds.
READ_SECONDS = 0.5


async def is_open(reader):
    """Return whether a connection is open: it has neither ended nor been reset."""
    try:
        async with asyncio.timeout(READ_SECONDS):
            await reader.read()
    except TimeoutError:
        return True
    except ConnectionError:
        return False
    return False


class TestManyConnections:
    # Guards against: others take the descriptors of a host by connections that stay.
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
            readers = [reader for reader, _ in connections]
            count = sum(await asyncio.gather(*map(is_open, readers)))
            for _, writer in connections:
                writer.transport.abort()
            assert count <= MAX_CONNECTIONS
            assert (await host.ask("readiness", "/-/ready"))[0] == 200

        run_scenario(scenario)

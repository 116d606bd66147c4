"""Tests of the client against a configuration service with and without faults."""

import asyncio
import threading
import time
from datetime import timedelta

import msgspec
import pytest
import urllib3

from foxtailseam.clocks import SystemClock
from foxtailseam.publications import PlatformClient, Publication, PublicationName
from foxtailseam_bench._ports import free_ports
from foxtailseam_bench.platform_service import PlatformFault, serve_platform

RULES = PublicationName.RULES


class ServiceThread:
    """A configuration service that runs in a thread."""

    def __init__(self):
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self._loop = asyncio.new_event_loop()
        self._task = self._loop.create_task(serve_platform(self.address))
        self._task.add_done_callback(lambda _: self._loop.stop())
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def stop(self):
        self._loop.call_soon_threadsafe(self._task.cancel)

    def publish(self, text):
        self._call("PUT", "/control/values/rules", text)

    def set_fault(self, **fault):
        self._call(
            "POST", "/control/fault", msgspec.json.encode(PlatformFault(**fault))
        )

    def _call(self, method, path, body):
        # The thread may not be listening yet, and retries without a delay all fail
        # within 4 ms.
        retries = urllib3.Retry(9, backoff_factor=0.01)
        url = f"http://{self.address}{path}"
        urllib3.request(method, url, body=body, retries=retries)


@pytest.fixture
def platform():
    service = ServiceThread()
    service.publish("one")
    yield service
    service.stop()


def read(address, *arguments, timeout=timedelta(seconds=1)):
    """Read a value once and return the result."""

    async def main():
        client = PlatformClient(address, SystemClock(), timeout)
        try:
            return await client.read(*arguments)
        finally:
            client.close()

    return asyncio.run(main())


class TestPlatformClient:
    def test_a_value_has_its_revision(self, platform):
        assert read(platform.address, RULES).unwrap() == Publication(RULES, 1, "one")
        assert read(platform.address, RULES, 1).unwrap() is None

    def test_a_watch_returns_the_next_publication(self, platform):
        threading.Timer(0.2, platform.publish, ["two"]).start()
        started = time.monotonic()
        published = read(platform.address, RULES, 1, timedelta(seconds=5)).unwrap()
        assert published == Publication(RULES, 2, "two")
        assert time.monotonic() - started < 2.0

    @pytest.mark.parametrize(
        ("fault", "detail"),
        [
            ({"down": True}, "status 503"),
            ({"delay_ms": 900}, "timeout"),
        ],
    )
    def test_a_failed_read_has_its_cause(self, platform, fault, detail):
        platform.set_fault(**fault)
        result = read(platform.address, RULES, timeout=timedelta(milliseconds=300))
        assert result.unwrap_err().detail == detail

    def test_a_stale_value_has_its_older_revision(self, platform):
        platform.publish("two")
        platform.set_fault(stale_by=1)
        assert read(platform.address, RULES, 2).unwrap().number == 1

    def test_an_unknown_value_and_a_closed_port_are_errors(self, platform):
        unknown = read(platform.address, PublicationName.HOSTS)
        assert unknown.unwrap_err().detail == "status 404"
        refused = read(f"127.0.0.1:{free_ports(1)[0]}", RULES)
        assert refused.unwrap_err().detail == "refused"

    def test_successive_reads_share_one_connection(self, platform):
        async def main():
            client = PlatformClient(platform.address, SystemClock())
            for _ in range(5):
                await client.read(RULES)
            opened = client.opened_connections
            client.close()
            return opened

        assert asyncio.run(main()) == 1


class TestUnusableRevision:
    @pytest.mark.parametrize("digits", [19, 5_000])
    def test_a_revision_number_without_bounds_is_a_failure(self, digits):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            number = b"9" * digits
            head = b"HTTP/1.1 200 OK\r\nX-Revision: %b\r\nContent-Length: 0\r\n\r\n"
            writer.write(head % number)

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = PlatformClient(f"127.0.0.1:{port}", SystemClock())
            try:
                return await client.read(RULES)
            finally:
                client.close()
                server.close()

        assert asyncio.run(main()).is_err()

"""Tests of the operators' HTTP interface, over loopback."""

import asyncio

import pytest

from foxtailseam.clocks import SystemClock
from foxtailseam.daemons._operators import TEXT_CONTENT_TYPE, OperatorServer, Page
from foxtailseam_bench._ports import free_ports


def get(path, is_ready=True):
    """Return status line, headers and body of the response to a GET."""

    async def main():
        address = f"127.0.0.1:{free_ports(1)[0]}"
        pages = {"/rules": lambda: Page(TEXT_CONTENT_TYPE, b"* deadline 1s\n")}
        server = OperatorServer(address, SystemClock(), pages, lambda: is_ready)
        await server.start()
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        writer.write(request.encode())
        async with asyncio.timeout(3.0):
            response = await reader.read(-1)
        server.stop()
        writer.close()
        return response

    head, _, body = asyncio.run(main()).partition(b"\r\n\r\n")
    status, *headers = head.split(b"\r\n")
    return status, headers, body


class TestOperatorServer:
    def test_page_has_its_content_type(self):
        status, headers, body = get("/rules")
        assert status == b"HTTP/1.1 200 OK"
        assert b"Content-Type: " + TEXT_CONTENT_TYPE in headers
        assert body == b"* deadline 1s\n"

    @pytest.mark.parametrize(("is_ready", "code"), [(True, b"200"), (False, b"503")])
    def test_readiness(self, is_ready, code):
        assert get("/ready", is_ready)[0].split()[1] == code

    def test_unknown_path_is_not_found(self):
        assert get("/else")[0] == b"HTTP/1.1 404 Not Found"

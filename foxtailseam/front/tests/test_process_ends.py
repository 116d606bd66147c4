"""Tests that nothing that others write or send ends the process of a host."""

import asyncio
import json
import random
import signal

import pytest

from foxtailseam.front.tests._deployment import gather_route

OBSERVED_SECONDS = 2.5
RESUMED_SECONDS = 5.0
DIGITS = "9" * 5000
# Contents of entries, configurations and settings files that others may write.
DOCUMENTS = {
    "nested": b'{"a":' * 1500,
    "nested-list": b"[" * 100_000,
    "not-utf-8": b"\xff\xfe\x00",
    "empty": b"",
    "null": b"null",
}
ODD_NUMBERS = ("1e300", "1000000000000000000", DIGITS, "-1", "NaN", '"7"', "null")
BYTES_SENT = (
    b"\x00" * 1000,
    b"GET / HTTP/1.1\r\n" * 50,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 500,
    b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: " + DIGITS.encode() + b"\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nFoxtailseam-Request-Id: 1\r\n"
    b"Foxtailseam-Deadline-Ms: " + DIGITS.encode() + b"\r\n\r\n",
)


def odd_documents(document):
    """Yield a document once for each of its numbers and each odd number."""
    for key, value in document.items():
        if isinstance(value, int) and not isinstance(value, bool):
            for number in ODD_NUMBERS:
                text = json.dumps(document | {key: "ODD"})
                yield text.replace('"ODD"', number).encode()


async def start_two_hosts(deployment):
    hosts = [await deployment.start_host(1)]
    seeds = (hosts[0].listen["control_plane"],)
    hosts.append(await deployment.start_host(2, seeds))
    for host in hosts:
        await host.wait_until_ready()
    return hosts


async def check_hosts_serve(hosts):
    for host in hosts:
        assert host.process.returncode is None
        assert (await host.get("/all/q"))[0] == 200


class TestForeignInput:
    # Guards against: an entry that cannot be read ends the processes of all hosts,
    # again and again, for as long as it stays.
    def test_entries(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_two_hosts(deployment)
            entry = deployment.searchers["i-single-x"].entry("single")
            odd = list(odd_documents(entry)) + [
                json.dumps(entry | {"address": f"127.0.0.1:{DIGITS}"}).encode(),
                json.dumps(entry | {"address": f"{DIGITS}.0.0.1:80"}).encode(),
                *DOCUMENTS.values(),
            ]
            for number, value in enumerate(odd):
                deployment.store.put(f"servers/i-odd-{number}", value)
            await asyncio.sleep(OBSERVED_SECONDS)
            await check_hosts_serve(hosts)

        run_scenario(scenario)

    def test_configurations(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_two_hosts(deployment)
            documents = list(DOCUMENTS.values())
            for route in odd_documents(gather_route()):
                text = b'{"version":%d,"services":[],"routes":[%b]}'
                documents.append(text % (deployment.version + 1, route))
            for document in documents:
                deployment.store.put("op/config", document)
                await asyncio.sleep(0.02)
            await asyncio.sleep(OBSERVED_SECONDS)
            for host in hosts:
                assert host.process.returncode is None
            deployment.version += 10
            deployment.configure(gather_route())
            await asyncio.sleep(OBSERVED_SECONDS)
            await check_hosts_serve(hosts)

        run_scenario(scenario)

    def test_settings(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_two_hosts(deployment)
            settings = deployment.settings()
            documents = [*DOCUMENTS.values()]
            for bounds in odd_documents({"grace_s": 6, "retry_slack": 1}):
                text = json.dumps(settings | {"bounds": "ODD"})
                documents.append(text.replace('"ODD"', bounds.decode()).encode())
            for document in documents:
                (deployment.directory / "host-1.json").write_bytes(document)
                hosts[0].process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
            await check_hosts_serve(hosts)

        run_scenario(scenario)

    @pytest.mark.parametrize("where", ["frontend", "readiness", "control_plane"])
    def test_bytes_sent_to_its_listeners(self, run_scenario, where):
        async def scenario(deployment):
            hosts = await start_two_hosts(deployment)
            address, _, port = hosts[0].listen[where].rpartition(":")
            generator = random.Random(1)
            noise = [generator.randbytes(2000) for _ in range(20)]
            for sent in (*BYTES_SENT, *noise):
                _, writer = await asyncio.open_connection(address, int(port))
                writer.write(sent)
                await asyncio.sleep(0.02)
                writer.close()
            await asyncio.sleep(OBSERVED_SECONDS)
            await check_hosts_serve(hosts)

        run_scenario(scenario)

    def test_answers_of_searchers(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_two_hosts(deployment)
            generator = random.Random(2)

            async def answer(_, writer):
                writer.write(generator.choice((*BYTES_SENT, generator.randbytes(500))))
                await asyncio.sleep(0.01)
                writer.close()

            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            entry = deployment.searchers["i-single-x"].entry("single")
            entry["address"] = f"127.0.0.1:{port}"
            deployment.store.put("servers/i-noise", entry)
            for number in range(60):
                await hosts[number % 2].get("/read/x")
            await check_hosts_serve(hosts)
            server.close()

        run_scenario(scenario)

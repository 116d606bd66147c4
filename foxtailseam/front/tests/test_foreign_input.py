"""Tests of host processes on loopback while others write what cannot be used."""

import asyncio
import json
import signal

from foxtailseam.front.tests._deployment import SHARDS, gather_route, single_route
from foxtailseam_bench.platform_deployment import eventually

# Documents are written this far apart, in seconds.
WRITE_INTERVAL = 0.15
CONFIGURATION_SECONDS = 3.0
DIGITS = b"9" * 5_000
NESTED = b'{"a":' * 1_500


class Written:
    """What other writers put into the configuration service."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.valid = deployment.searchers["i-single-x"].entry("single")

    def entries(self):
        """Return keys and values that name no searcher."""
        changes = [
            {"warmup_left_ms": 1e18},
            {"warmup_left_ms": 1e300},
            {"warmup_left_ms": -5},
            {"born": 10**30},
            {"max_concurrency": 10**30},
            {"address": "10.0.0.1:" + "9" * 5000},
            {"address": "1" * 5000 + ".0.0.1:80"},
            {"address": "10.0.0.1:0"},
            {"service": None},
            {"service": "x" * 100_000},
            {"zone": "\ud800"},
        ]
        values = [json.dumps(self.valid | change).encode() for change in changes]
        values += [NESTED, b"\xff", b"", b'{"born":' + DIGITS + b"}"]
        for number, value in enumerate(values):
            yield f"servers/i-odd-{number}", value
        yield "servers/i-1\r\nSmuggled: 1", json.dumps(self.valid).encode()

    def entries_of_served_addresses(self):
        """Return entries that name the addresses of searchers that serve."""
        for number, (name, searcher) in enumerate(self.deployment.searchers.items()):
            service = "shard-b" if "single" in name else "single"
            entry = searcher.entry(service if number % 2 else "unused")
            entry["born"] += 1000 * (number % 3)
            yield f"servers/i-other-{number}", json.dumps(entry).encode()

    def configurations(self):
        """Return values of a version that cannot be used."""
        version = self.deployment.version + 1
        valid = single_route("read", "idempotent")
        changes = [
            {"timeout_ms": 1e18},
            {"timeout_ms": 1e300},
            {"latency_goal_ms": 1e300},
            {"timeout_ms": -1},
            {"max_attempts": 10**30},
            {"weighted_backends": [{"service": "single", "weight": 1e300}] * 2},
            {"gather": ["single"], "top_k": 10**30, "min_version": 7},
            {"path_prefix": None},
            {"host": "\ud800"},
        ]
        for change in changes:
            document = {"version": version, "routes": [valid | change]}
            yield json.dumps(document).encode()
        yield NESTED
        yield b"\xff"
        yield b'{"version":' + DIGITS + b"}"
        limits = {"idle_timeout_ms": 1e300}
        yield json.dumps({"version": version, "limits": limits}).encode()


async def start_hosts(deployment):
    hosts = [await deployment.start_host(1)]
    seeds = (hosts[0].listen["control_plane"],)
    for number in (2, 3):
        hosts.append(await deployment.start_host(number, seeds))
    for host in hosts:
        await host.wait_until_ready()
    return hosts


async def check_served(hosts, paths=("/read/x", "/all/q")):
    for host in hosts:
        for path in paths:
            status, headers, _ = await host.get(path)
            assert status == 200
            assert headers.get("foxtailseam-missing-parts", "0") == "0"
        assert host.process.returncode is None


class TestForeignInput:
    def test_odd_entries_end_no_process_and_hide_no_searcher(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_hosts(deployment)
            written = Written(deployment)
            for key, value in written.entries():
                deployment.store.put(key, value)
                await asyncio.sleep(WRITE_INTERVAL)
                await check_served(hosts)
            await deployment.add_searcher("i-late", "late")
            deployment.publish(
                (*SHARDS, "single", "late"),
                [gather_route(), single_route("late", "idempotent", service="late")],
            )
            for host in hosts:

                async def is_served(host=host):
                    return (await host.get("/late/x"))[0] == 200

                await eventually(is_served, CONFIGURATION_SECONDS)
            await check_served(hosts, ["/all/q", "/late/x"])

        run_scenario(scenario)

    def test_entries_with_addresses_of_others_drive_out_no_searcher(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_hosts(deployment)
            for key, value in Written(deployment).entries_of_served_addresses():
                deployment.store.put(key, value)
                await asyncio.sleep(WRITE_INTERVAL)
                await check_served(hosts)
            # A host that starts later reads the entries in another order.
            seeds = (hosts[0].listen["control_plane"],)
            late = await deployment.start_host(4, seeds)
            await late.wait_until_ready()
            for _ in range(5):
                await check_served([*hosts, late])

        run_scenario(scenario)

    def test_an_address_is_used_again_while_the_old_entry_is_there(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_hosts(deployment)
            searcher = deployment.searchers["i-single-x"]
            # It ended without a word, and its address went to one of another service.
            searcher.identifier = "i-new"
            entry = searcher.entry("late")
            entry["born"] += 1000
            deployment.store.put("servers/i-new", entry)
            deployment.configure(
                single_route("read", "idempotent"),
                single_route("book", "non_idempotent"),
                single_route("late", "idempotent", service="late"),
            )
            for host in hosts:

                async def is_in_force(host=host):
                    return (await host.get("/late/x"))[0] == 200

                await eventually(is_in_force, CONFIGURATION_SECONDS)
            for _ in range(10):
                await check_served(hosts, ["/read/x", "/book/x", "/late/x"])
            paths = {target for _, target, _ in searcher.runs}
            assert paths == {"/late/x"}

        run_scenario(scenario)

    def test_an_odd_configuration_leaves_the_last_good_one_in_force(self, run_scenario):
        async def scenario(deployment):
            hosts = await start_hosts(deployment)
            for value in Written(deployment).configurations():
                deployment.store.put("op/config", value)
                await asyncio.sleep(WRITE_INTERVAL)
                await check_served(hosts)
            deployment.configure(single_route("next", "idempotent"))
            for host in hosts:

                async def is_in_force(host=host):
                    return (await host.get("/next/x"))[0] == 200

                await eventually(is_in_force, CONFIGURATION_SECONDS)
                assert (await host.get("/read/x"))[0] == 404
            await check_served(hosts, ["/next/x"])

        run_scenario(scenario)

    def test_an_odd_settings_file_at_a_reload_changes_nothing(self, run_scenario):
        async def scenario(deployment):
            host = await deployment.start_host(1)
            await host.wait_until_ready()
            path = deployment.directory / "host-1.json"
            valid = json.loads(path.read_text())
            odd = [
                valid | {"bounds": {"grace_s": 1e300}},
                valid | {"platform": {"address": "nowhere"}},
                valid | {"seeds": ["nowhere", "10.0.0.1:" + "9" * 5000]},
            ]
            values = [json.dumps(document).encode() for document in odd]
            for value in (*values, NESTED, b"\xff", b""):
                path.write_bytes(value)
                host.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(WRITE_INTERVAL)
                await check_served([host])
            path.unlink()
            host.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(WRITE_INTERVAL)
            await check_served([host])
            path.write_text(json.dumps(valid))
            host.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(host.process.wait(), 10) == 0

        run_scenario(scenario)

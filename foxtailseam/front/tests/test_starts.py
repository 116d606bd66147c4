"""Tests of the start of a host process, and of the reasons for which it fails."""

import asyncio
import json
import os
import signal
import socket
import sys
from functools import partial

import pytest

from foxtailseam.front import METRICS_PORT
from foxtailseam.launch import ExitCode
from foxtailseam_bench.platform_deployment import ROOT, PlatformHost, eventually

END_SECONDS = 10.0


async def start_process(settings, path, environment=()):
    """Start a host's process with a settings file."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "foxtailseam.launch", settings["listen_addrs"]["frontend"]),
        cwd=ROOT,
        env=os.environ | {"FOXTAILSEAM_CONFIG": str(path)} | dict(environment),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def read_end(process):
    """Return the exit code and the events of a process that ends."""
    output, errors = await asyncio.wait_for(process.communicate(), END_SECONDS)
    assert errors.count(b"\n") == (process.returncode == ExitCode.PACKAGE_MISSING)
    return process.returncode, [json.loads(line) for line in output.splitlines()]


async def read_until(process, name):
    """Return the events up to the first one of a name."""
    events = []
    while not events or events[-1]["name"] != name:
        line = await asyncio.wait_for(process.stdout.readline(), END_SECONDS)
        events.append(json.loads(line))
    return events


def taken(address):
    """Return a socket that listens on an address."""
    ip, _, port = address.rpartition(":")
    return socket.create_server((ip, int(port)))


async def serves(host):
    try:
        return (await host.get("/all/q"))[0] == 200
    except OSError:
        return False


async def is_listening(address):
    ip, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(ip, int(port))
    except OSError:
        return False
    writer.close()
    return True


def write_settings(deployment, settings):
    path = deployment.directory / "settings.json"
    path.write_text(json.dumps(settings))
    return path


class TestEarlySignals:
    @pytest.mark.parametrize("delay", [0.0, 0.05, 0.1])
    def test_a_sighup_while_the_program_is_imported_is_handled_later(
        self, run_scenario, delay
    ):
        async def scenario(deployment):
            host = await deployment.start_host()
            await eventually(host.accepts_connections, 3.0)
            await asyncio.sleep(delay)
            host.process.send_signal(signal.SIGHUP)
            await host.wait_until_ready()
            await asyncio.sleep(0.5)
            names = [event["name"] for event in deployment.events()]
            assert "settings-reloaded" in names

        run_scenario(scenario)

    def test_a_sigterm_while_the_program_is_imported_stops_the_process(
        self, run_scenario
    ):
        async def scenario(deployment):
            host = await deployment.start_host()
            await eventually(host.accepts_connections, 3.0)
            host.process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(host.process.wait(), END_SECONDS) == 0
            names = [event["name"] for event in deployment.events()]
            assert names[-1] == "process-stopped"

        run_scenario(scenario)


class TestReload:
    @pytest.mark.parametrize("content", [None, b"", b"{", b"\xff\x00", b"[" * 9999])
    def test_settings_that_cannot_be_read_are_refused_and_the_old_ones_kept(
        self, run_scenario, content
    ):
        async def scenario(deployment):
            host = await deployment.start_host()
            await host.wait_until_ready()
            path = deployment.directory / "host-1.json"
            path.unlink()
            if content is not None:
                path.write_bytes(content)
            host.process.send_signal(signal.SIGHUP)

            async def is_told():
                events = deployment.events()
                return any(event["event"] in (106, 110) for event in events)

            await eventually(is_told, 3.0)
            assert (await host.get("/all/q"))[0] == 200

        run_scenario(scenario)


class TestFailedStarts:
    @pytest.mark.parametrize("content", [None, b"", b"{", b"[]"])
    def test_settings_that_cannot_be_read(self, run_scenario, content):
        async def scenario(deployment):
            path = deployment.directory / "settings.json"
            if content is not None:
                path.write_bytes(content)
            process = await start_process(deployment.settings(), path)
            code, (event,) = await read_end(process)
            assert code == event["exit_code"] == ExitCode.SETTINGS_INVALID
            assert (event["event"], event["phase"]) == (109, "settings")

        run_scenario(scenario)

    def test_an_address_for_callers_that_is_taken_is_named(self, run_scenario):
        async def scenario(deployment):
            settings = deployment.settings()
            address = settings["listen_addrs"]["frontend"]
            with taken(address):
                path = write_settings(deployment, settings)
                process = await start_process(settings, path)
                code, events = await read_end(process)
            assert code == events[-1]["exit_code"] == ExitCode.ADDRESS_UNAVAILABLE
            assert (events[-1]["event"], events[-1]["phase"]) == (109, "listen")
            assert address in events[-1]["problem"]

        run_scenario(scenario)

    @pytest.mark.parametrize("where", ["readiness", "control_plane", "metrics"])
    def test_a_host_serves_callers_while_another_address_is_taken(
        self, run_scenario, where
    ):
        async def scenario(deployment):
            settings = deployment.settings()
            addresses = settings["listen_addrs"] | {
                "metrics": f"{settings['ip']}:{METRICS_PORT}"
            }
            address = addresses[where]
            with taken(address):
                path = write_settings(deployment, settings)
                process = await start_process(settings, path)
                deployment.processes.append(process)
                host = PlatformHost(
                    process, settings["ip"], addresses, deployment.next_id
                )
                await eventually(partial(serves, host), END_SECONDS)
                events = await read_until(process, "task-failed")
                assert address in events[-1]["problem"]
            await eventually(partial(is_listening, address), END_SECONDS)

        run_scenario(scenario)

    def test_an_address_for_callers_that_is_in_use_for_a_moment(self, run_scenario):
        async def scenario(deployment):
            settings = deployment.settings()
            ip, _, port = settings["listen_addrs"]["frontend"].rpartition(":")
            with socket.create_server((ip, int(port))):
                path = write_settings(deployment, settings)
                process = await start_process(settings, path)
                await asyncio.sleep(0.5)
            line = await asyncio.wait_for(process.stdout.readline(), END_SECONDS)
            assert json.loads(line)["event"] != 109
            process.kill()
            await process.wait()

        run_scenario(scenario)

    @pytest.mark.parametrize("package", ["msgspec", "httptools", "grpclib"])
    def test_a_package_that_is_missing_is_named(self, run_scenario, package):
        async def scenario(deployment):
            shadow = deployment.directory / "shadow"
            shadow.mkdir()
            (shadow / f"{package}.py").write_text(
                f"raise ModuleNotFoundError(\"No module named '{package}'\")"
            )
            settings = deployment.settings()
            process = await start_process(
                settings,
                write_settings(deployment, settings),
                {"PYTHONPATH": str(shadow)},
            )
            code, events = await read_end(process)
            assert code == events[-1]["exit_code"] == ExitCode.PACKAGE_MISSING
            assert (events[-1]["event"], events[-1]["phase"]) == (109, "import")
            assert package in events[-1]["problem"]

        run_scenario(scenario)


class TestStartsThatWait:
    def test_a_service_that_is_away_does_not_end_the_process(self, run_scenario):
        async def scenario(deployment):
            deployment.store.is_unavailable = True
            host = await deployment.start_host()

            async def is_told():
                return any(event["event"] == 243 for event in deployment.events())

            await eventually(is_told, 5.0)
            deployment.store.is_unavailable = False
            await host.wait_until_ready()

        run_scenario(scenario)

    def test_a_first_configuration_that_is_invalid_does_not_end_the_process(
        self, run_scenario
    ):
        async def scenario(deployment):
            deployment.store.put("op/config", {"version": "none"})
            host = await deployment.start_host()

            async def is_told():
                return any(event["event"] == 241 for event in deployment.events())

            await eventually(is_told, 5.0)
            deployment.configure()
            await host.wait_until_ready()

        run_scenario(scenario)

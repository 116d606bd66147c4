"""Tests of the start of a host process, and of the reasons for which it fails."""

import asyncio
import signal

import pytest

from foxtailseam_bench.platform_deployment import eventually


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

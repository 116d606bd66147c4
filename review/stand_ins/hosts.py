"""Host processes on loopback, started with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("lk-west", "lk-central", "lk-east")
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT = 8104, 8108, 8106
READY_SECONDS = 20.0
POLL_SECONDS = 0.05
CLOSE_SECONDS = 0.3
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "revert_slack_ms": 250,
    "skew_max_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 54,
    "recovery_s": 12,
}
LIMITS = {
    "cpu_share": 0.537,
    "cpu_cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}


class HostsNotReadyError(Exception):
    """A host did not become ready, or ended by itself."""


class Hosts:
    """The host processes of a small deployment.

    Parameters
    ----------
    count : int
        Number of hosts.
    store_address : str
        ``IP:PORT`` of the store.
    directory : Path
        Temporary folder for settings and logs.
    """

    def __init__(self, count: int, store_address: str, directory: Path):
        self.count = count
        self.store_address = store_address
        self.directory = directory
        number = os.getpid()
        # Hosts serve metrics on a fixed port, so each run has addresses of its own.
        self._network = f"127.{10 + number % 200}.{number // 200 % 250}"
        self._processes: dict[int, asyncio.subprocess.Process] = {}

    def ip(self, number: int) -> str:
        """Return the address of a host."""
        return f"{self._network}.{number + 1}"

    async def start(self) -> None:
        """Start all hosts and wait until they are ready."""
        for number in range(self.count):
            await self._start_host(number)
        for number in range(self.count):
            await self._wait_until_ready(number)

    def ended(self) -> list[int]:
        """Return the numbers of the hosts whose process has ended."""
        return [
            number
            for number, process in self._processes.items()
            if process.returncode is not None
        ]

    async def stop(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        # The stand-ins close the connections that the hosts had.
        await asyncio.sleep(CLOSE_SECONDS)

    async def _start_host(self, number: int) -> None:
        path = self.directory / f"host-{number}.json"
        path.write_text(json.dumps(self._settings(number)))
        with (self.directory / f"host-{number}.log").open("wb") as log:
            self._processes[number] = await asyncio.create_subprocess_exec(
                *self._command(number),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "FOXTAILSEAM_CONFIG": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def _command(self, number: int) -> list[str]:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        address = f"{self.ip(number)}:{FRONTEND_PORT}"
        run = deploy["roles"]["front"]["run"]
        return run.replace("{{listen_addrs.frontend}}", address).split(" ")

    def _settings(self, number: int) -> dict:
        ip = self.ip(number)
        return {
            "node_name": f"front-{number}",
            "role": "front",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": ZONES[number % len(ZONES)],
            "region": "great-lakes",
            "zones": dict.fromkeys(ZONES, "great-lakes"),
            "listen_addrs": {
                "frontend": f"{ip}:{FRONTEND_PORT}",
                "readiness": f"{ip}:{READINESS_PORT}",
                "control_plane": f"{ip}:{CONTROL_PORT}",
            },
            "port_range": [7380, 7395],
            "seeds": [
                f"{self.ip(seed)}:{CONTROL_PORT}" for seed in range(min(3, self.count))
            ],
            "bootstrap": True,
            "loss_counted": False,
            "limits": LIMITS,
            "data_dir": None,
            "discovery": "platform",
            "entry_mode": "virtual_ip",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.store_address,
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }

    async def _wait_until_ready(self, number: int) -> None:
        end = asyncio.get_running_loop().time() + READY_SECONDS
        while asyncio.get_running_loop().time() < end:
            if self._processes[number].returncode is not None:
                break
            if await self._is_ready(number):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise HostsNotReadyError(f"host {number}")

    async def _is_ready(self, number: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.ip(number), READINESS_PORT
            )
            request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            writer.write(request.encode())
            answer = await reader.read()
            writer.close()
        except OSError:
            return False
        return b" 200 " in answer[:20]

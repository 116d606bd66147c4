"""Frame of a case: starts everything, plays it and ends with the exit code."""

import asyncio
import os
import random
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.hosts import ROOT, ZONES, Hosts, HostsNotReadyError
from stand_ins.record import Record
from stand_ins.searcher import Journal, Searcher
from stand_ins.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_SECONDS = 1.2
ROUTE = {
    "host": "pupu76.example",
    "timeout_ms": 4000,
    "latency_goal_ms": 600,
    "priority": 2,
    "max_attempts": 2,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class Deployment:
    """Store, searchers and hosts of a case.

    Parameters
    ----------
    record : Record
        Record of the case.
    directory : Path
        Temporary folder.
    seed : int
        Seed of all that is random in the case.
    """

    def __init__(self, record: Record, directory: Path, seed: int):
        self.record = record
        self.generator = random.Random(seed)
        self.journal = Journal(record)
        self.store = Store()
        self.searchers: list[Searcher] = []
        self._directory = directory
        self.hosts: Hosts | None = None

    async def add_searchers(
        self, service: str, count: int, work_seconds: tuple[float, float]
    ) -> None:
        """Start the searchers of a service and publish them."""
        for _ in range(count):
            number = len(self.searchers)
            zone = ZONES[number % len(ZONES)]
            searcher = Searcher(
                f"i-{0x7F3A0000 + number:08x}",
                service,
                zone,
                self.journal,
                work_seconds,
                self.generator,
            )
            await searcher.start()
            self.searchers.append(searcher)

    async def start(self, routes: list[dict], hosts: int = 3) -> None:
        """Publish the configuration and the searchers, and start the hosts."""
        names = sorted({searcher.service for searcher in self.searchers})
        document = {
            "version": 7,
            "routes": [ROUTE | route for route in routes],
            "services": [
                {"name": name, "health_path": "/health", "max_conns": 34}
                for name in names
            ],
            "limits": LIMITS,
        }
        self.store.put("op/config", document)
        self._publish()
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.hosts = Hosts(hosts, address, self._directory)
        await self.hosts.start()
        self._beats = asyncio.ensure_future(self._beat())

    async def stop(self) -> None:
        """End all processes."""
        if self.hosts is not None:
            await self.hosts.stop()

    def _publish(self) -> None:
        for searcher in self.searchers:
            self.store.put(f"servers/{searcher.name}", searcher.entry())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._publish()


# Plays a case; called with the deployment, which is not started yet, and whether the
# disruption takes place. Returns a line for each violation of the rule.
Play = Callable[[Deployment, bool], Awaitable[list[str]]]


def main(folder: Path, play: Play) -> None:
    """Run a case and end the process with its exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", random.randrange(1 << 30)))
    record = Record(folder / "record.txt")
    record.write("case", folder.name, "seed", seed, "trouble", int(has_trouble))
    code = asyncio.run(_run(record, seed, play, has_trouble))
    record.write("exit", code)
    record.close()
    sys.exit(code)


async def _run(record: Record, seed: int, play: Play, has_trouble: bool) -> int:
    if not (ROOT / "target" / "deps").is_dir():
        print("not run: target/deps is missing")
        return NOT_RUN
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(record, Path(directory), seed)
        try:
            violations = await play(deployment, has_trouble)
            ended = deployment.hosts.ended()
        except (HostsNotReadyError, OSError) as error:
            print(f"not run: {error!r}")
            return NOT_RUN
        finally:
            await deployment.stop()
    if ended:
        print(f"not run: hosts {ended} have ended")
        return NOT_RUN
    for line in violations:
        record.write("violation", line)
    print(f"{len(violations)} violations; seed {seed}; trouble {int(has_trouble)}")
    print("\n".join(violations[:5]))
    return BROKEN if violations else HELD

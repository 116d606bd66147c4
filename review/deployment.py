"""A small deployment on loopback for the scripts of the review.

The hosts are the project's own processes, started with the command of the deploy file.
Store, searchers, callers and the platform that restarts processes are stand-ins.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from foxtailseam_bench.platform_stand_in import StandInSearcher, StandInStore

ROOT = Path(__file__).resolve().parent.parent
CALLERS = "{{listen_addrs.frontend}}"
# Time between the end of a process and its restart by the platform, in seconds.
RESTART_SECONDS = 0.3
POLL_SECONDS = 0.02
READY_SECONDS = 20.0
MEMORY_MB = 300
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Store(StandInStore):
    """The project's stand-in of the store, with a history that ends."""

    def forget_before(self, revision: int) -> None:
        """Discard changes before a revision that later ones have replaced."""
        newest = {event["key"]: event for event in self._events}
        self._events = [
            event
            for event in self._events
            if event["revision"] >= revision or newest[event["key"]] is event
        ]
        self._oldest = max(self._oldest, revision)


class NotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


@dataclass
class Answer:
    """Answer as a caller has seen it; status 0 if there was none.

    `problem` says why the answer is missing or incomplete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    problem: str = ""


class Caller:
    """A caller with one connection that it keeps open."""

    def __init__(self, address: str):
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the next request goes on the same connection."""
        return self._writer is not None

    async def ask(
        self,
        path: str,
        request_id: str,
        deadline_ms: int = 3000,
        method: str = "GET",
        headers: str = "",
        body: bytes = b"",
    ) -> Answer:
        """Send a request and wait for its answer for as long as its deadline says."""
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                return await self._exchange(
                    path, request_id, deadline_ms, method, headers, body
                )
        except TimeoutError:
            self.close()
            return Answer(problem="no answer in time")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return Answer(problem=f"connection ended: {type(error).__name__}")

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def _exchange(
        self, path, request_id, deadline_ms, method, headers, body
    ) -> Answer:
        if self._writer is None:
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"Foxtailseam-Request-Id: {request_id}\r\n"
            f"Foxtailseam-Deadline-Ms: {deadline_ms}\r\n{headers}"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self._writer.write(f"{head}\r\n".encode() + body)
        text = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.rstrip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        names = {name.lower(): value.strip() for name, _, value in pairs}
        content = await self._reader.readexactly(int(names.get("content-length", 0)))
        if names.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split()[1]), names, content)


class Host:
    """A host of the deployment: its settings and its current process."""

    def __init__(self, deployment: "Deployment", number: int, settings: dict):
        self.deployment = deployment
        self.number = number
        self.settings = settings
        self.callers = settings["listen_addrs"]["frontend"]
        self.path = deployment.directory / f"host-{number}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        # Why each process that the case has not stopped itself has ended.
        self.own_ends: list[str] = []
        self.is_stopped = False
        self._over_limit = 0

    async def run(self) -> None:
        """Keep a process running as the platform does, until cancelled."""
        while not self.is_stopped:
            await self._start()
            watch = asyncio.create_task(self._watch_memory())
            code = await self.process.wait()
            watch.cancel()
            if not self.is_stopped:
                reason = f"exit code {code}"
                if self._over_limit:
                    reason = f"killed with {self._over_limit} MB of {MEMORY_MB}"
                self.own_ends.append(reason)
                self.deployment.record(f"host-{self.number} ended: {reason}")
                await asyncio.sleep(RESTART_SECONDS)

    async def wait_until_ready(self, seconds: float = READY_SECONDS) -> None:
        """Wait until the host answers its readiness check with 200."""
        address = self.settings["listen_addrs"]["readiness"]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            caller = Caller(address)
            answer = await caller.ask("/-/ready", "ready", 1000)
            caller.close()
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f"host-{self.number} did not become ready")

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def processor_seconds(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def _start(self) -> None:
        self._over_limit = 0
        is_first = not self.starts
        self.path.write_text(json.dumps(self.settings | {"bootstrap": is_first}))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        if "PYTHONFAULTHANDLER" in os.environ:
            environment["PYTHONFAULTHANDLER"] = "1"
        environment["FOXTAILSEAM_CONFIG"] = str(self.path)
        command = [
            self.callers if word == CALLERS else word
            for word in self.deployment.command.split()
        ]
        with (self.deployment.directory / f"host-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1

    async def _watch_memory(self) -> None:
        page = os.sysconf("SC_PAGE_SIZE")
        statistics = Path(f"/proc/{self.process.pid}/statm")
        while True:
            with contextlib.suppress(OSError, IndexError):
                megabytes = int(statistics.read_text().split()[1]) * page // 1_000_000
                if megabytes > MEMORY_MB:
                    self._over_limit = megabytes
                    self.kill()
                    return
            await asyncio.sleep(POLL_SECONDS)


class Deployment:
    """Hosts, searchers and store on loopback; `stop` ends all of them."""

    def __init__(self, directory: Path):
        self.directory = directory
        text = (ROOT / "deploy" / "system.toml").read_text()
        self.command = tomllib.loads(text)["roles"]["front"]["run"]
        self.store = Store()
        self.store_address = ""
        self.searchers: dict[str, StandInSearcher] = {}
        self.hosts: list[Host] = []
        self.version = 0
        self.lines: list[str] = []
        self._network = f"127.{90 + os.getpid() % 150}.{os.getpid() // 150 % 250}"
        self._ids = itertools.count(0x1000)
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task] = []
        self._started_at = time.monotonic()

    def record(self, text: str) -> None:
        """Add a line to the record of the case."""
        self.lines.append(f"{time.monotonic() - self._started_at:8.3f} {text}")

    def next_id(self) -> str:
        """Return a new request identifier."""
        return f"{next(self._ids):016x}"

    async def start_store(self) -> None:
        """Start the store."""
        self.store_address = await self._serve(self.store)

    async def add_searcher(self, searcher: StandInSearcher, service: str) -> None:
        """Start a searcher and publish its entry."""
        searcher.address = await self._serve(searcher)
        self.searchers[searcher.identifier] = searcher
        self.store.put(f"servers/{searcher.identifier}", searcher.entry(service))

    def publish(
        self, routes: list[dict], services: Iterable[str], max_connections: int = 100
    ) -> int:
        """Write the next version of the configuration; return it."""
        self.version += 3
        documents = [{"name": name, "max_conns": max_connections} for name in services]
        self.store.put(
            "op/config",
            {"version": self.version, "routes": routes, "services": documents},
        )
        return self.version

    def add_hosts(self, count: int) -> None:
        """Start hosts that know one another as seeds."""
        addresses = [f"{self._network}.{number + 1}" for number in range(count)]
        ports = [_free_ports(address, 3) for address in addresses]
        seeds = [
            f"{address}:{peers}"
            for address, (_, _, peers) in zip(addresses, ports, strict=True)
        ][:3]
        for number, (address, taken) in enumerate(zip(addresses, ports, strict=True)):
            host = Host(self, number, self._settings(number, address, taken, seeds))
            self.hosts.append(host)
            self._tasks.append(asyncio.create_task(host.run()))

    async def stop(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.is_stopped = True
            host.kill(
                signal.SIGABRT if "PYTHONFAULTHANDLER" in os.environ else signal.SIGKILL
            )
            if host.process is not None:
                await host.process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0.1)

    async def ask_in_turn(self, path: str, seconds: float) -> tuple[int, int]:
        """Ask all hosts in turn; return how many requests were served and sent.

        Each request has a connection of its own, as after the balancer.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        served = sent = 0
        while loop.time() < end:
            for host in self.hosts:
                answer = await self.ask_once(host, path)
                sent += 1
                served += answer.status == 200
            await asyncio.sleep(0.1)
        return served, sent

    async def ask_once(
        self, host: Host, path: str, deadline_ms: int = 1000, **changes
    ) -> Answer:
        """Send one request on a connection of its own and record its answer."""
        name = self.next_id()
        caller = Caller(host.callers)
        answer = await caller.ask(f"{path}{name}", name, deadline_ms, **changes)
        caller.close()
        self.record(
            f"host-{host.number} {path}{name}: {answer.status} {answer.problem}"
        )
        return answer

    def _settings(self, number, address, ports, seeds) -> dict:
        callers, readiness, peers = ports
        return {
            "node_name": f"host-{number}",
            "role": "front",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": address,
            "zone": "d1",
            "region": "r1",
            "zones": {"d1": "r1"},
            "listen_addrs": {
                "frontend": f"{address}:{callers}",
                "readiness": f"{address}:{readiness}",
                "control_plane": f"{address}:{peers}",
            },
            "port_range": [7380, 7395],
            "seeds": seeds,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
            },
            "heartbeat_ms": 1200,
            "bounds": {
                "stable_window_ms": 4000,
                "drain_ms": 3000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 3000,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 52,
                "recovery_s": 12,
            },
            "platform": {
                "address": self.store_address,
                "form": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }

    async def _serve(self, stand_in) -> str:
        async def handle(reader, writer) -> None:
            self._writers.add(writer)
            try:
                with contextlib.suppress(asyncio.CancelledError):
                    await stand_in.handle_connection(reader, writer)
            finally:
                self._writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def route(name: str, service: str, **changes) -> dict:
    """Return a route to one service, with the times of `single-account-fetch`."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 4000,
        "latency_goal_ms": 600,
        "max_attempts": 2,
        "priority": 2,
        "service": service,
    } | changes


def run_case(folder: Path, case: Callable[[Deployment, bool], Awaitable[bool]]) -> None:
    """Run a case, write its record and exit with 1 if the rule was broken.

    Parameters
    ----------
    folder : Path
        Folder of the case, to which the record is written.
    case : callable
        Coroutine function that takes the deployment and whether there is a disruption;
        returns whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(folder, case, has_trouble)))


async def _run(folder: Path, case, has_trouble: bool) -> int:
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(Path(directory))
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await deployment.start_store()
            held = await case(deployment, has_trouble)
            code = HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            # An error of the case itself says nothing about the rule.
            deployment.record(f"could not run: {error!r}")
            code = NOT_RUN
        finally:
            await deployment.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for log in Path(directory).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code]
    deployment.record(f"rule: {verdict}")
    (folder / "record.txt").write_text("\n".join(deployment.lines) + "\n")
    print(deployment.lines[-1])
    return code


def _free_ports(address: str, count: int) -> tuple[int, ...]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((address, 0))
        return tuple(item.getsockname()[1] for item in sockets)
    finally:
        for item in sockets:
            item.close()

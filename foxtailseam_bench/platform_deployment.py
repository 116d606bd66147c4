"""Host processes on loopback, with stand-ins for the platform they run on."""

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

from foxtailseam.front import METRICS_PORT, METRICS_TARGET
from foxtailseam.metrics import PREFIX
from foxtailseam_bench._ports import free_ports
from foxtailseam_bench.platform_stand_in import StandInSearcher, StandInStore
from foxtailseam_bench.relay import TcpRelays

ROOT = Path(__file__).parents[1]
READY_SECONDS = 10.0
RESPONSE_SECONDS = 10.0
POLL_SECONDS = 0.05
START_ID = 0x1000
MAX_CONNECTIONS = 26
RETRY_SLACK = 50
# Hosts serve metrics on a fixed port: processes that overlap need other addresses.
LOOPBACK_NETWORK = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"


async def eventually(condition: Callable[[], Awaitable[bool]], seconds: float) -> None:
    """Wait until a condition holds; an assertion fails after `seconds`."""
    end = asyncio.get_running_loop().time() + seconds
    while not await condition():
        assert asyncio.get_running_loop().time() < end, (
            "the condition was not met in time"
        )
        await asyncio.sleep(POLL_SECONDS)


class PlatformHost:
    """The process of a host.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        The running process.
    address : str
        IP address of the host.
    listen : dict of str to str
        ``IP:PORT`` addresses by the platform's name of what they serve.
    next_id : callable
        Returns a new request identifier.
    """

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        address: str,
        listen: dict[str, str],
        next_id: Callable[[], str],
    ):
        self.process = process
        self.address = address
        self.listen = listen
        self.next_id = next_id

    async def wait_until_ready(self) -> None:
        """Wait until the host reports that it is ready."""

        async def is_ready() -> bool:
            try:
                status, _, _ = await self.ask("readiness", "/-/ready")
            except OSError:
                return False
            return status == 200

        await eventually(is_ready, READY_SECONDS)

    async def accepts_connections(self) -> bool:
        """Return whether a caller can connect."""
        host, _, port = self.listen["frontend"].rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def get(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 3000,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a caller's request; return status, headers and body of the answer."""
        return await self.ask("frontend", path, method, body, deadline_ms)

    async def ask(
        self,
        where: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 3000,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request to one of the addresses in `listen`, or to an ``IP:PORT``."""
        host, _, port = self.listen.get(where, where).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
            f"Foxtailseam-Request-Id: {self.next_id()}\r\n"
            f"Foxtailseam-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = await asyncio.wait_for(reader.read(), RESPONSE_SECONDS)
        writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        return int(first.split()[1]), headers, content

    async def metrics(self) -> dict[str, float]:
        """Return the values of the host's counters and gauges by name."""
        _, _, body = await self.ask(
            f"{self.address}:{METRICS_PORT}", METRICS_TARGET.decode()
        )
        lines = [line.split(" ") for line in body.decode().splitlines()]
        return {
            name.removeprefix(PREFIX): float(value)
            for name, *_, value in lines
            if name.startswith(PREFIX)
        }


class PlatformDeployment:
    """A configuration service, searchers and hosts; `stop` ends all of them.

    Must be used inside one running event loop, which also runs the stand-ins.

    Parameters
    ----------
    directory : Path
        Directory for the settings and logs of the hosts.
    grace_seconds : float
        Time that a host has from SIGTERM until it must have ended.

    Attributes
    ----------
    limits : dict
        Limits in the settings of the hosts that differ from the defaults.
    """

    def __init__(self, directory: Path, grace_seconds: float = 6.0):
        self.directory = directory
        self.grace_seconds = grace_seconds
        self.store = StandInStore()
        self.store_address = ""
        self.searchers: dict[str, StandInSearcher] = {}
        self.processes: list[asyncio.subprocess.Process] = []
        self.version = 0
        self.limits: dict = {}
        self._servers: list[asyncio.Server] = []
        self._numbers = iter(range(START_ID, 2**63))

    async def start_store(self) -> None:
        """Start the configuration service."""
        self.store_address = await self._serve(self.store)

    async def add_searcher(
        self, name: str, service: str, records: bytes = b"", zone: str = "d1"
    ) -> None:
        """Start a searcher and publish its entry."""
        searcher = StandInSearcher(name, records, zone=zone)
        searcher.address = await self._serve(searcher)
        self.searchers[name] = searcher
        self.store.put(f"servers/{name}", searcher.entry(service))

    def publish(
        self,
        services: Iterable[str],
        routes: Iterable[dict],
        warmup_rate: float = 0.0,
    ) -> None:
        """Publish the next version of the configuration.

        Parameters
        ----------
        services : iterable of str
            Names of the services.
        routes : iterable of dict
            Routes as in the platform's document.
        warmup_rate : float
            Requests per second that a cold searcher accepts; 0 for no bound.
        """
        self.version += 3
        document = {
            "version": self.version,
            "routes": list(routes),
            "services": [
                {
                    "name": name,
                    "max_conns": MAX_CONNECTIONS,
                    "warmup_per_s": warmup_rate,
                }
                for name in services
            ],
        }
        self.store.put("op/config", document)

    async def start_host(
        self,
        number: int = 1,
        seeds: Iterable[str] = (),
        interpreter_options: Iterable[str] = (),
        relays: TcpRelays | None = None,
        failing: tuple[str, int] | None = None,
        zone: str = "d1",
    ) -> PlatformHost:
        """Start the process of a host; it need not be ready yet.

        Parameters
        ----------
        number : int
            Number of the host, from 0 to 253.
        seeds : iterable of str
            ``IP:PORT`` addresses of other hosts.
        interpreter_options : iterable of str
            Options of the Python interpreter before the module to run.
        relays : TcpRelays or None
            Set if the host is to reach the searchers through relays, which are added.
        failing : tuple of (str, int) or None
            Method whose first calls fail, and their number; see `failing_host`.
        zone : str
            Failure domain of the host.
        """
        settings = self.settings(number, seeds) | {"zone": zone}
        listen = settings["listen_addrs"]
        path = self.directory / f"host-{number}.json"
        path.write_text(json.dumps(settings))
        command = ("-m", "foxtailseam.launch", listen["frontend"])
        if relays is not None:
            names = self._add_relays(relays, self.directory / f"relays-{number}.json")
            command = ("-m", "foxtailseam_bench.relayed_host", names)
        if failing is not None:
            method, count = failing
            command = ("-m", "foxtailseam_bench.failing_host", method, str(count))
        with (self.directory / f"host-{number}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *interpreter_options,
                *command,
                cwd=ROOT,
                env=os.environ | {"FOXTAILSEAM_CONFIG": str(path)},
                stdout=log,
            )
        self.processes.append(process)
        return PlatformHost(process, settings["ip"], listen, self.next_id)

    def settings(self, number: int = 1, seeds: Iterable[str] = ()) -> dict:
        """Return the platform's settings document of a host, with free ports.

        Parameters
        ----------
        number : int
            Number of the host, from 0 to 253.
        seeds : iterable of str
            ``IP:PORT`` addresses of other hosts.
        """
        address = f"{LOOPBACK_NETWORK}.{number + 1}"
        callers, readiness, peers = free_ports(3)
        return {
            "node_name": f"host-{number}",
            "ip": address,
            "zone": "d1",
            "listen_addrs": {
                "frontend": f"{address}:{callers}",
                "readiness": f"{address}:{readiness}",
                "control_plane": f"{address}:{peers}",
            },
            "seeds": list(seeds),
            "platform": {"address": self.store_address},
            "limits": self.limits,
            "bounds": {"grace_s": self.grace_seconds, "retry_slack": RETRY_SLACK},
        }

    def events(self, number: int = 1) -> list[dict]:
        """Return the events that a host has logged."""
        lines = (self.directory / f"host-{number}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def stop(self) -> None:
        """End the hosts and close the listeners of the stand-ins."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for server in self._servers:
            server.close()

    def next_id(self) -> str:
        """Return a new request identifier."""
        return f"{next(self._numbers):016x}"

    def _add_relays(self, relays: TcpRelays, path: Path) -> str:
        """Add a relay to each searcher; return the name of the file that lists them."""
        targets = [searcher.address for searcher in self.searchers.values()]
        ports = free_ports(len(targets))
        relay_by_target = {
            target: f"127.0.0.1:{port}"
            for target, port in zip(targets, ports, strict=True)
        }
        for target, address in relay_by_target.items():
            relays.add(address, target)
        path.write_text(json.dumps(relay_by_target))
        return str(path)

    async def _serve(self, stand_in: StandInStore | StandInSearcher) -> str:
        async def handle_connection(reader, writer) -> None:
            # asyncio logs an error for a handler that ends as cancelled, as those do
            # that still wait when the event loop ends.
            with contextlib.suppress(asyncio.CancelledError):
                await stand_in.handle_connection(reader, writer)

        server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

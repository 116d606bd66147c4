"""A whole deployment on loopback: platform, searchers, entry hosts."""

import contextlib
import tempfile
from pathlib import Path

import msgspec
import urllib3
import yaml

from foxtailseam_bench._processes import ProcessGroup, free_ports, wait_until
from foxtailseam_bench.plan import DeploymentPlan, HostAddresses, Reply
from foxtailseam_bench.platform_service import PlatformFault
from foxtailseam_bench.searcher import (
    Record,
    RunLog,
    SearcherSpec,
)

START_SECONDS = 30.0


class Deployment:
    """Starts a plan and brings about faults.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start.
    """

    def __init__(self, plan: DeploymentPlan):
        self.plan = plan
        self._directory = tempfile.TemporaryDirectory(prefix="foxtailseam-")
        self.directory = Path(self._directory.name)
        self._run_file = self.directory / "runs.txt"
        self.processes = ProcessGroup(self.directory)
        self.http = urllib3.PoolManager(num_pools=200, maxsize=64, retries=False)
        self.platform = ""
        self.hosts: list[HostAddresses] = []
        self.searchers: dict[str, list[str]] = {}
        self._leaving_hosts: set[str] = set()
        self._leaving_searchers: set[str] = set()
        self._version = 1

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self) -> None:
        """Start everything and wait until each entry is ready."""
        self._lay_out()
        self.start_platform()
        self._start_searchers()
        self.publish_value("rules", self.plan.rules)
        self.publish_snapshots(self._version)
        self.publish_hosts()
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            self.wait_ready(host)

    def stop(self) -> None:
        """End every process and remove their files."""
        self.processes.stop_all()
        self._directory.cleanup()

    def start_platform(self) -> None:
        """Start the platform's stand-in and wait for it."""
        command = ["foxtailseam_bench.serve", "platform", self.platform]
        self.processes.start("platform", command)
        self._wait_listening(self.platform, "/control/counts")

    def start_host(self, host: HostAddresses) -> None:
        """Start the processes of one entry host."""
        for index in range(len(host.gathers)):
            self.start_daemon(host, f"gather-{index}")
        self.start_daemon(host, "entry")

    def start_daemon(self, host: HostAddresses, process: str) -> None:
        """Start one process of an entry host."""
        path = self.directory / f"{host.name}-{process}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host, process)))
        name = f"{host.name}-{process}"
        self.processes.start(name, ["foxtailseam", "run", str(path)])

    def wait_ready(self, host: HostAddresses) -> None:
        """Wait until an entry host wants work."""
        for address in (host.entry_operators, *host.gather_operators):
            wait_until(
                lambda address=address: self._is_ok(address, "/ready"),
                START_SECONDS,
                f"{host.name} ready at {address}",
            )

    def publish_value(self, name: str, text: str) -> int:
        """Publish a value; return its revision."""
        reply = self._control("PUT", self.platform, f"/control/values/{name}", text)
        return int(reply.headers["X-Revision"])

    def set_platform_fault(self, fault: PlatformFault) -> None:
        """Set how the platform misbehaves."""
        body = msgspec.json.encode(fault)
        self._control("POST", self.platform, "/control/fault", body)

    def publish_snapshots(self, version: int, shards: dict | None = None) -> int:
        """Publish an index version, with another shard map if one is given."""
        self._version = version
        snapshots = [
            {
                "family": family.name,
                "index_version": version,
                "slots": family.slots,
                "connections": family.connections,
                "shards": [
                    {"name": name, "searchers": searchers}
                    for name, searchers in (shards or self.searchers).items()
                    if name.startswith(f"{family.name}-")
                ],
            }
            for family in self.plan.families
        ]
        return self.publish_value("snapshots", _json({"snapshots": snapshots}))

    def publish_hosts(
        self,
        leaving_hosts: set[str] | None = None,
        leaving_searchers: set[str] | None = None,
    ) -> int:
        """Publish the list of hosts."""
        if leaving_hosts is not None:
            self._leaving_hosts = leaving_hosts
        if leaving_searchers is not None:
            self._leaving_searchers = leaving_searchers
        hosts = [self._listed(host) for host in self.hosts]
        leaving = sorted(self._leaving_searchers)
        value = {"hosts": hosts, "leaving_searchers": leaving}
        return self.publish_value("hosts", _json(value))

    def _listed(self, host: HostAddresses) -> dict:
        return {
            "name": host.name,
            "failure_domain": host.failure_domain,
            "state": "leaving" if host.name in self._leaving_hosts else "live",
            "entry": host.entry,
            "gathers": list(host.gathers),
        }

    def set_behaviour(self, address: str, **changes: object) -> None:
        """Change the behaviour of a searcher."""
        self._control("POST", address, "/control", _json(changes))

    def set_behaviour_of_all(self, **changes: object) -> None:
        """Change the behaviour of every searcher."""
        for address in self.all_searchers():
            self.set_behaviour(address, **changes)

    def all_searchers(self) -> list[str]:
        """Return the addresses of all searchers."""
        return [item for items in self.searchers.values() for item in items]

    def count_runs_containing(self, text: str) -> int:
        """Return how many runs had `text` in their body; the dead count too."""
        if not self._run_file.exists():
            return 0
        lines = self._run_file.read_text().splitlines()
        return sum(text in line for line in lines)

    def run_log(self, address: str) -> RunLog:
        """Return what a searcher has run."""
        reply = self.http.request("GET", f"http://{address}/runs", timeout=5.0)
        return msgspec.json.decode(reply.data, type=RunLog)

    def search(
        self, host: HostAddresses, family: str, query: str, timeout: float = 70.0
    ) -> Reply:
        """Send a search to an entry."""
        path = f"/v1/families/{family}/search"
        return self.call(host, path, {"query": query}, timeout)

    def ticket(self, host: HostAddresses, family: str) -> str:
        """Get a ticket from an entry."""
        return self.call(host, f"/v1/families/{family}/tickets", {}).body["ticket"]

    def submit(
        self,
        host: HostAddresses,
        family: str,
        ticket: str,
        content: str,
        timeout: float = 70.0,
    ) -> Reply:
        """Send a request that may not be repeated."""
        body = {"ticket": ticket, "key": content, "content": content}
        return self.call(host, f"/v1/families/{family}/submit", body, timeout)

    def call(
        self, host: HostAddresses, path: str, body: dict, timeout: float = 70.0
    ) -> Reply:
        """Post JSON to an entry's address for callers."""
        reply = self.http.request(
            "POST", f"http://{host.callers}{path}", body=_json(body), timeout=timeout
        )
        decoded = msgspec.json.decode(reply.data) if reply.data else {}
        return Reply(reply.status, dict(reply.headers), decoded)

    def statuses(self) -> dict[str, dict]:
        """Return the status of each process that answers, by name."""
        found = {}
        for host in self.hosts:
            for address in (host.entry_operators, *host.gather_operators):
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    url = f"http://{address}/status"
                    reply = self.http.request("GET", url, timeout=0.5)
                    status = msgspec.json.decode(reply.data)
                    found[f"{host.name}-{status['process']}"] = status
        return found

    def operator_addresses(self) -> list[str]:
        """Return the operators' address of every process."""
        return [
            address
            for host in self.hosts
            for address in (host.entry_operators, *host.gather_operators)
        ]

    def searcher_name(self, address: str) -> str:
        """Return the name of the process that runs a searcher."""
        size = self.plan.searchers_per_process
        return f"searcher-{self.all_searchers().index(address) // size}"

    def _lay_out(self) -> None:
        plan = self.plan
        searchers = sum(item.shards * item.replicas for item in plan.families)
        per_host = 3 + 2 * plan.gathers
        ports = iter(free_ports(1 + searchers + plan.hosts * per_host))
        addresses = (f"127.0.0.1:{port}" for port in ports)
        self.platform = next(addresses)
        for family in plan.families:
            for index in range(family.shards):
                name = f"{family.name}-{index:02}"
                self.searchers[name] = [next(addresses) for _ in range(family.replicas)]
        domains = plan.failure_domains
        for index in range(plan.hosts):
            self.hosts.append(
                HostAddresses(
                    f"host-{index + 1}",
                    domains[index % len(domains)],
                    next(addresses),
                    next(addresses),
                    next(addresses),
                    tuple(next(addresses) for _ in range(plan.gathers)),
                    tuple(next(addresses) for _ in range(plan.gathers)),
                )
            )

    def _start_searchers(self) -> None:
        specs = [
            SearcherSpec(
                address,
                name,
                _records(name),
                self.plan.behaviour,
                seed=index,
                run_file=str(self._run_file) if self.plan.keep_runs else "",
            )
            for index, (name, address) in enumerate(
                (name, address)
                for name, addresses in self.searchers.items()
                for address in addresses
            )
        ]
        size = self.plan.searchers_per_process
        for number, first in enumerate(range(0, len(specs), size)):
            path = self.directory / f"searcher-{number}.json"
            path.write_bytes(msgspec.json.encode(specs[first : first + size]))
            command = ["foxtailseam_bench.serve", "searchers", str(path)]
            self.processes.start(f"searcher-{number}", command)
        for spec in specs:
            self._wait_listening(spec.address, "/health")

    def _settings(self, host: HostAddresses, process: str) -> dict:
        role, _, index = process.partition("-")
        if role == "entry":
            peers, operators = host.entry, host.entry_operators
        else:
            peers = host.gathers[int(index)]
            operators = host.gather_operators[int(index)]
        others = [item.entry for item in self.hosts if item.entry != peers]
        settings = {
            "process": {
                "role": role,
                "name": process,
                "host": host.name,
                "failure_domain": host.failure_domain,
                "peers": peers,
                "operators": operators,
            },
            "platform": {"address": self.platform},
            "peers": {"seeds": others[:3]},
            "entry": {"callers": host.callers},
            "shutdown": {"balancer_lag": "500ms"},
        }
        for section, values in self.plan.settings.items():
            settings[section] = settings.get(section, {}) | values
        return settings

    def _control(self, method: str, address: str, path: str, body: str | bytes):
        url = f"http://{address}{path}"
        reply = self.http.request(method, url, body=body, timeout=5.0)
        if reply.status != 200:
            raise AssertionError(f"{method} {url}: status {reply.status}")
        return reply

    def _is_ok(self, address: str, path: str) -> bool:
        try:
            url = f"http://{address}{path}"
            return self.http.request("GET", url, timeout=0.5).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _wait_listening(self, address: str, path: str) -> None:
        wait_until(lambda: self._is_ok(address, path), START_SECONDS, address)


def _records(shard: str) -> list[Record]:
    return [
        Record(f"{shard}-{index}", 1.0 + index / 10, f"climber {index} of {shard}")
        for index in range(3)
    ]


def _json(value: object) -> str:
    return msgspec.json.encode(value).decode()

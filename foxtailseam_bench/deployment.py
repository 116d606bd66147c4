"""A whole deployment on the loopback interface: platform, searchers, entry hosts."""

import contextlib
import tempfile
from pathlib import Path

import msgspec
import urllib3
import yaml

from foxtailseam_bench._ports import free_ports
from foxtailseam_bench._processes import ProcessGroup, wait_until
from foxtailseam_bench.plan import DeploymentPlan, HostAddresses, Reply
from foxtailseam_bench.platform_service import PlatformFault
from foxtailseam_bench.searcher import (
    Record,
    RunLog,
    SearcherSpec,
)

START_TIMEOUT_SECONDS = 30.0


class Deployment:
    """Starts the processes of a plan, sends them requests and injects faults.

    As a context manager it starts everything on entry and stops it on exit.

    Parameters
    ----------
    plan : DeploymentPlan
        The processes, rules and settings to start.

    Attributes
    ----------
    platform : str
        Address of the platform's test double, ``IP:PORT``.
    hosts : list of HostAddresses
        The entry hosts, once started.
    searchers : dict of str to list of str
        Addresses of the searchers of each shard, by the name of the shard.
    directory : Path
        Temporary directory with settings and output of the processes.
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
        """Start all processes and wait until every daemon is ready."""
        self._assign_addresses()
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
        """Kill every process and remove the temporary directory."""
        self.processes.stop_all()
        self._directory.cleanup()

    def start_platform(self) -> None:
        """Start the platform's test double and wait until it answers."""
        command = ["foxtailseam_bench.serve", "platform", self.platform]
        self.processes.start("platform", command)
        self._wait_listening(self.platform, "/control/counts")

    def start_host(self, host: HostAddresses) -> None:
        """Start the gathers and the entry of one host."""
        for index in range(len(host.gathers)):
            self.start_daemon(host, f"gather-{index}")
        self.start_daemon(host, "entry")

    def start_daemon(self, host: HostAddresses, process: str) -> None:
        """Start one process of an entry host, ``entry`` or ``gather-INDEX``."""
        path = self.directory / f"{host.name}-{process}.yaml"
        path.write_text(yaml.safe_dump(self._settings(host, process)))
        name = f"{host.name}-{process}"
        self.processes.start(name, ["foxtailseam", "run", str(path)])

    def wait_ready(self, host: HostAddresses) -> None:
        """Wait until every process of an entry host is ready."""
        for address in (host.entry_operators, *host.gather_operators):
            wait_until(
                lambda address=address: self._is_ok(address, "/ready"),
                START_TIMEOUT_SECONDS,
                f"{host.name} ready at {address}",
            )

    def publish_value(self, name: str, text: str) -> int:
        """Publish the value `text` as `name` on the platform; return its revision."""
        reply = self._control("PUT", self.platform, f"/control/values/{name}", text)
        return int(reply.headers["X-Revision"])

    def set_platform_fault(self, fault: PlatformFault) -> None:
        """Set the faults that the platform's test double injects."""
        body = msgspec.json.encode(fault)
        self._control("POST", self.platform, "/control/fault", body)

    def publish_snapshots(self, version: int, shards: dict | None = None) -> int:
        """Publish snapshots of an index version; return the revision.

        `shards` maps names of shards to addresses of searchers and replaces the map of
        the plan.
        """
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
        return self.publish_value("snapshots", _to_json({"snapshots": snapshots}))

    def publish_hosts(
        self,
        leaving_hosts: set[str] | None = None,
        leaving_searchers: set[str] | None = None,
    ) -> int:
        """Publish the list of hosts; return its revision.

        The names of leaving hosts and addresses of leaving searchers stay in force
        until other ones are given.
        """
        if leaving_hosts is not None:
            self._leaving_hosts = leaving_hosts
        if leaving_searchers is not None:
            self._leaving_searchers = leaving_searchers
        hosts = [self._host_record(host) for host in self.hosts]
        leaving = sorted(self._leaving_searchers)
        value = {"hosts": hosts, "leaving_searchers": leaving}
        return self.publish_value("hosts", _to_json(value))

    def _host_record(self, host: HostAddresses) -> dict:
        return {
            "name": host.name,
            "failure_domain": host.failure_domain,
            "state": "leaving" if host.name in self._leaving_hosts else "live",
            "entry": host.entry,
            "gathers": list(host.gathers),
        }

    def set_behaviour(self, address: str, **changes: object) -> None:
        """Change the behaviour of the searcher at an address.

        `changes` are fields of `SearcherBehaviour`, or ``restart_cold``: the number of
        slow requests after a simulated restart.
        """
        self._control("POST", address, "/control", _to_json(changes))

    def set_behaviour_of_all(self, **changes: object) -> None:
        """Change the behaviour of every searcher; `changes` as in `set_behaviour`."""
        for address in self.all_searchers():
            self.set_behaviour(address, **changes)

    def all_searchers(self) -> list[str]:
        """Return the addresses of all searchers."""
        return [item for items in self.searchers.values() for item in items]

    def count_runs_containing(self, text: str) -> int:
        """Return the number of runs whose body contained `text`.

        Runs of searchers that have ended are included; the plan must have `keep_runs`.
        """
        if not self._run_file.exists():
            return 0
        lines = self._run_file.read_text().splitlines()
        return sum(text in line for line in lines)

    def run_log(self, address: str) -> RunLog:
        """Return the run log of the searcher at an address."""
        reply = self.http.request("GET", f"http://{address}/runs", timeout=5.0)
        return msgspec.json.decode(reply.data, type=RunLog)

    def search(
        self, host: HostAddresses, family: str, query: str, timeout: float = 70.0
    ) -> Reply:
        """Send a search to the entry of a host; `timeout` is in seconds."""
        path = f"/v1/families/{family}/search"
        return self.call(host, path, {"query": query}, timeout)

    def request_ticket(self, host: HostAddresses, family: str) -> str:
        """Request a ticket from the entry of a host."""
        return self.call(host, f"/v1/families/{family}/tickets", {}).body["ticket"]

    def submit(
        self,
        host: HostAddresses,
        family: str,
        ticket: str,
        content: str,
        timeout: float = 70.0,
    ) -> Reply:
        """Submit a non-repeatable request under a ticket; `timeout` is in seconds."""
        body = {"ticket": ticket, "key": content, "content": content}
        return self.call(host, f"/v1/families/{family}/submit", body, timeout)

    def call(
        self, host: HostAddresses, path: str, body: dict, timeout: float = 70.0
    ) -> Reply:
        """Post JSON to the callers' address of an entry; `timeout` is in seconds."""
        reply = self.http.request(
            "POST", f"http://{host.callers}{path}", body=_to_json(body), timeout=timeout
        )
        decoded = msgspec.json.decode(reply.data) if reply.data else {}
        return Reply(reply.status, dict(reply.headers), decoded)

    def statuses(self) -> dict[str, dict]:
        """Return the status of each daemon that answers, by ``HOST-PROCESS``."""
        statuses_by_name = {}
        for host in self.hosts:
            for address in (host.entry_operators, *host.gather_operators):
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    url = f"http://{address}/status"
                    reply = self.http.request("GET", url, timeout=0.5)
                    status = msgspec.json.decode(reply.data)
                    statuses_by_name[f"{host.name}-{status['process']}"] = status
        return statuses_by_name

    def operator_addresses(self) -> list[str]:
        """Return the operators' address of every daemon."""
        return [
            address
            for host in self.hosts
            for address in (host.entry_operators, *host.gather_operators)
        ]

    def searcher_name(self, address: str) -> str:
        """Return the name of the process that runs a searcher."""
        size = self.plan.searchers_per_process
        return f"searcher-{self.all_searchers().index(address) // size}"

    def _assign_addresses(self) -> None:
        plan = self.plan
        searchers = sum(item.shards * item.replicas for item in plan.families)
        ports_per_host = 3 + 2 * plan.gathers
        ports = iter(free_ports(1 + searchers + plan.hosts * ports_per_host))
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
                _sample_records(name),
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
        wait_until(lambda: self._is_ok(address, path), START_TIMEOUT_SECONDS, address)


def _sample_records(shard: str) -> list[Record]:
    return [
        Record(f"{shard}-{index}", 1.0 + index / 10, f"climber {index} of {shard}")
        for index in range(3)
    ]


def _to_json(value: object) -> str:
    return msgspec.json.encode(value).decode()

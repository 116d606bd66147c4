"""A deployment of two hosts that a network partition can separate.

Each host has a platform of its own. Its list of hosts and its seeds name the other
host's processes by the addresses of TCP relays, which can stop forwarding.
"""

import msgspec

from foxtailseam_bench._ports import free_ports
from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.plan import DeploymentPlan, HostAddresses
from foxtailseam_bench.relay import TcpRelays


class PartitionedDeployment(Deployment):
    """Two hosts that reach each other only through relays.

    Parameters
    ----------
    plan : DeploymentPlan
        The deployment to start; its `hosts` must be 2.

    Attributes
    ----------
    relays : TcpRelays
        Relays between the two hosts; disconnect them to start a partition.
    second_platform : str
        Address of the second host's platform, ``IP:PORT``.
    """

    def __init__(self, plan: DeploymentPlan):
        super().__init__(plan)
        self.relays = TcpRelays()
        self.second_platform = ""
        self._relay_addresses: dict[str, str] = {}

    def stop(self) -> None:
        """Kill every process and stop the relays."""
        super().stop()
        self.relays.close()

    def publish_to_first_platform(self, name: str, text: str) -> int:
        """Publish a value on the first host's platform only; return its revision."""
        return self._publish_on(self.platform, name, text)

    def publish_value(self, name: str, text: str) -> int:
        """Publish a value on both platforms; return its revision on the first one."""
        self._publish_on(self.second_platform, name, text)
        return self._publish_on(self.platform, name, text)

    def publish_hosts(self, *_) -> int:
        """Publish each host's own list of hosts; return the second list's revision."""
        first, second = self.hosts
        self._publish_on(self.platform, "hosts", self._hosts_value(first, second))
        return self._publish_on(
            self.second_platform, "hosts", self._hosts_value(second, first)
        )

    def start_platform(self) -> None:
        """Start both platforms and a relay to each process of both hosts."""
        super().start_platform()
        addresses = [item for host in self.hosts for item in _peer_addresses(host)]
        ports = free_ports(1 + len(addresses))
        self.second_platform = f"127.0.0.1:{ports.pop()}"
        command = ["foxtailseam_bench.serve", "platform", self.second_platform]
        self.processes.start("second-platform", command)
        self._wait_listening(self.second_platform, "/control/counts")
        for address, port in zip(addresses, ports, strict=True):
            self._relay_addresses[address] = f"127.0.0.1:{port}"
            self.relays.add(self._relay_addresses[address], address)

    def _publish_on(self, platform: str, name: str, text: str) -> int:
        reply = self._control("PUT", platform, f"/control/values/{name}", text)
        return int(reply.headers["X-Revision"])

    def _hosts_value(self, own: HostAddresses, other: HostAddresses) -> str:
        hosts = [
            self._host_record(own),
            self._host_record(other)
            | {
                "entry": self._relay_addresses[other.entry],
                "gathers": [self._relay_addresses[item] for item in other.gathers],
            },
        ]
        value = {"hosts": hosts, "leaving_searchers": []}
        return msgspec.json.encode(value).decode()

    def _settings(self, host: HostAddresses, process: str) -> dict:
        settings = super()._settings(host, process)
        seeds = [self._relay_addresses[seed] for seed in settings["peers"]["seeds"]]
        settings["peers"]["seeds"] = seeds
        if host is self.hosts[1]:
            settings["platform"]["address"] = self.second_platform
        return settings


def _peer_addresses(host: HostAddresses) -> tuple[str, ...]:
    return (host.entry, *host.gathers)

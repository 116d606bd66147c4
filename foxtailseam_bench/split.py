"""A deployment of two parts that can be split from each other.

Each part has a platform of its own, whose list of hosts names the other part's
processes by the addresses of relays.
"""

import msgspec

from foxtailseam_bench._processes import free_ports
from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.plan import DeploymentPlan, HostAddresses
from foxtailseam_bench.relay import TcpRelays


class PartitionedDeployment(Deployment):
    """Two hosts, in two parts.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start; with two hosts.
    """

    def __init__(self, plan: DeploymentPlan):
        super().__init__(plan)
        self.relays = TcpRelays()
        self.far_platform = ""
        self._relayed: dict[str, str] = {}

    def stop(self) -> None:
        """End every process and the relays."""
        super().stop()
        self.relays.close()

    def publish_to_first_platform(self, name: str, text: str) -> int:
        """Publish a value on the first part's platform only."""
        return self._publish(self.platform, name, text)

    def publish_value(self, name: str, text: str) -> int:
        """Publish a value on both platforms."""
        self._publish(self.far_platform, name, text)
        return self._publish(self.platform, name, text)

    def publish_hosts(self, *_) -> int:
        """Publish each part's list of hosts."""
        near, far = self.hosts
        self._publish(self.platform, "hosts", self._list(near, far))
        return self._publish(self.far_platform, "hosts", self._list(far, near))

    def start_platform(self) -> None:
        """Start both platforms and the relays."""
        super().start_platform()
        addresses = [item for host in self.hosts for item in _addresses(host)]
        ports = free_ports(1 + len(addresses))
        self.far_platform = f"127.0.0.1:{ports.pop()}"
        command = ["foxtailseam_bench.serve", "platform", self.far_platform]
        self.processes.start("far-platform", command)
        self._wait_listening(self.far_platform, "/control/counts")
        for address, port in zip(addresses, ports, strict=True):
            self._relayed[address] = f"127.0.0.1:{port}"
            self.relays.add(self._relayed[address], address)

    def _publish(self, platform: str, name: str, text: str) -> int:
        reply = self._control("PUT", platform, f"/control/values/{name}", text)
        return int(reply.headers["X-Revision"])

    def _list(self, own: HostAddresses, other: HostAddresses) -> str:
        hosts = [
            self._listed(own),
            self._listed(other)
            | {
                "entry": self._relayed[other.entry],
                "gathers": [self._relayed[item] for item in other.gathers],
            },
        ]
        value = {"hosts": hosts, "leaving_searchers": []}
        return msgspec.json.encode(value).decode()

    def _settings(self, host: HostAddresses, process: str) -> dict:
        settings = super()._settings(host, process)
        seeds = [self._relayed[seed] for seed in settings["peers"]["seeds"]]
        settings["peers"]["seeds"] = seeds
        if host is self.hosts[1]:
            settings["platform"]["address"] = self.far_platform
        return settings


def _addresses(host: HostAddresses) -> tuple[str, ...]:
    return (host.entry, *host.gathers)

"""What hosts publish about themselves, and the news of it that others relay."""

from dataclasses import dataclass
from zlib import crc32

from foxtailseam.utils import Address, Integer, SignedWholeMilliseconds


@dataclass(frozen=True, slots=True)
class HostRecord:
    """What a host publishes about itself, relayed unchanged by other hosts.

    Parameters
    ----------
    address : str
        ``IP:PORT`` on which the host serves other hosts.
    failure_domain : str
        Failure domain of the host.
    started_ms : int
        Unix time at which the process started, in milliseconds. After a restart
        this is greater, so that the new process supersedes the old one.
    count : int
        Heartbeat counter, for hosts of an earlier release that go by it.
    is_leaving : bool
        Whether the host is shutting down.
    incarnation : int
        Incremented to refute a suspicion and to announce the shutdown; 0 in records of
        hosts of an earlier release.
    shard_call_rate : int
        Calls to shards that the host can send in a second; 0 if unknown, and in records
        of hosts of an earlier release, which coordinate no queries.
    """

    address: Address
    failure_domain: str
    started_ms: Integer
    count: Integer = 0
    is_leaving: bool = False
    incarnation: Integer = 0
    shard_call_rate: Integer = 0

    @property
    def version_key(self) -> tuple[int, int, int]:
        """Return the sort key of records of one host; the newest is the greatest."""
        return self.started_ms, self.incarnation, self.count

    @property
    def run_key(self) -> tuple[int, int, int]:
        """Return the part of `version_key` that proves that the host lives."""
        count = 0 if self.incarnation else self.count
        return self.started_ms, self.incarnation, count

    @property
    def digest(self) -> int:
        """Return a number that identifies this run of the host."""
        text = f"{self.address} {self.started_ms}".encode()
        return crc32(text) << 31 ^ crc32(text, 0x5BD1E995)


@dataclass(frozen=True, slots=True)
class MemberNews:
    """A change of the membership that is relayed while it is new.

    Parameters
    ----------
    record : HostRecord
        Newest record of the host that is known to the sender.
    is_suspected : bool
        Whether the host could not be reached.
    suspected_ms : int
        Milliseconds since the suspicion arose.
    """

    record: HostRecord
    is_suspected: bool = False
    suspected_ms: SignedWholeMilliseconds = 0

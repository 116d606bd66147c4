"""Reads the platform's configuration service within the read rate of the fleet."""

import asyncio
from datetime import timedelta

from result import Err, Ok

from foxtailseam.clocks import Clock
from foxtailseam.hosts import rendezvous_subset
from foxtailseam.logs import EventCode
from foxtailseam.peers._identity import Identity
from foxtailseam.peers._published import PublishedState
from foxtailseam.publications import PlatformClient, PublicationName
from foxtailseam.settings import PlatformSettings
from foxtailseam.timeline import Recorder

WATCH_DELAY = timedelta(milliseconds=50)
ERROR_DELAY = timedelta(milliseconds=500)
WATCHERS_KEY = "platform-watchers"


class PlatformController:
    """Keeps the published values up to date.

    A few processes of each failure domain, chosen by rendezvous hashing over the
    list of hosts, watch the service. The others poll it, at intervals that keep
    the rate of all polls of the fleet within `PlatformSettings.read_rate`.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    settings : PlatformSettings
        Address, timeouts and rates.
    published : PublishedState
        Receives the values that were read.
    recorder : Recorder
        Records failed reads and stale replies.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        identity: Identity,
        settings: PlatformSettings,
        published: PublishedState,
        recorder: Recorder,
        clock: Clock,
    ):
        self.identity = identity
        self.settings = settings
        self.published = published
        self.recorder = recorder
        self.clock = clock
        self._client = PlatformClient(settings.address, clock, settings.timeout)
        self._failing: set[PublicationName] = set()
        self._tasks: list[asyncio.Task] = []

    @property
    def is_watcher(self) -> bool:
        """Return whether this process watches the service instead of polling it."""
        domain = self.identity.failure_domain
        addresses = self.published.hosts.value.failure_domain(domain)
        watchers = rendezvous_subset(WATCHERS_KEY, addresses, self.settings.watchers)
        return self.identity.address in watchers

    @property
    def poll_interval(self) -> timedelta:
        """Return the time between two polls of one value by this process.

        It grows with the number of processes, to keep the rate of the fleet.
        """
        processes = len(self.published.hosts.value.processes)
        reads = processes * len(PublicationName)
        budgeted_interval = timedelta(seconds=reads / self.settings.read_rate)
        return max(self.settings.poll_interval, budgeted_interval)

    def start(self) -> None:
        """Start a task that reads each value; must be called from the event loop."""
        for name in PublicationName:
            self._tasks.append(asyncio.create_task(self._run_reads(name)))

    def stop(self) -> None:
        """Stop all reads and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def read_all(self) -> bool:
        """Read each value once.

        Returns
        -------
        bool
            Whether each read succeeded with a value that is not stale.
        """
        reads = (self._read(name, timedelta()) for name in PublicationName)
        return all(await asyncio.gather(*reads))

    async def _run_reads(self, name: PublicationName) -> None:
        while True:
            is_watcher = self.is_watcher
            wait = self.settings.watch_wait if is_watcher else timedelta()
            succeeded = await self._read(name, wait)
            delay = WATCH_DELAY if is_watcher else self.poll_interval
            if not succeeded:
                delay = max(delay, ERROR_DELAY)
            await asyncio.sleep(delay.total_seconds())

    async def _read(self, name: PublicationName, wait: timedelta) -> bool:
        last_seen = self.published.last_seen_number(name)
        result = await self._client.read(name, last_seen, wait)
        match result:
            case Err(error):
                self._report_failure(name, error.detail)
                return False
            case Ok(None):
                self._failing.discard(name)
                return True
            case Ok(publication):
                is_stale = publication.number < last_seen
                if is_stale:
                    self._report_failure(name, f"stale revision {publication.number}")
                    return False
                self._failing.discard(name)
                self.published.offer(publication)
                return True

    def _report_failure(self, name: PublicationName, detail: str) -> None:
        if name in self._failing:
            return
        self._failing.add(name)
        is_stale = detail.startswith("stale")
        code = EventCode.RULES_STALE if is_stale else EventCode.PLATFORM_FAILED
        self.recorder.record(code, name=name, detail=detail)

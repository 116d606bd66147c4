"""Reads the platform's configuration service, within the fleet's read budget."""

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

WATCH_PAUSE = timedelta(milliseconds=50)
ERROR_PAUSE = timedelta(milliseconds=500)
WATCHERS_KEY = "platform-watchers"


class PlatformController:
    """Keeps the published values up to date.

    A few processes of each failure domain, chosen by rendezvous hash over the
    list of hosts, hold a watch; the others poll at a rate that the whole fleet
    together keeps within `PlatformSettings.read_rate`.

    Parameters
    ----------
    identity : Identity
        This process.
    settings : PlatformSettings
        Address and budgets.
    published : PublishedState
        Where values go.
    recorder : Recorder
        Where failures are reported.
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
        """Return whether this process holds a watch."""
        domain = self.identity.failure_domain
        live = self.published.hosts.value.failure_domain(domain)
        watchers = rendezvous_subset(WATCHERS_KEY, live, self.settings.watchers)
        return self.identity.address in watchers

    @property
    def poll_interval(self) -> timedelta:
        """Return the time between two polls of one value by this process."""
        processes = len(self.published.hosts.value.processes)
        reads = processes * len(PublicationName)
        fair = timedelta(seconds=reads / self.settings.read_rate)
        return max(self.settings.poll_interval, fair)

    def start(self) -> None:
        """Begin to read; to be called in the event loop."""
        for name in PublicationName:
            self._tasks.append(asyncio.create_task(self._follow(name)))

    def stop(self) -> None:
        """End reading."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def read_all(self) -> bool:
        """Read each value once; tell whether the service answered each time."""
        reads = (self._read(name, timedelta()) for name in PublicationName)
        return all(await asyncio.gather(*reads))

    async def _follow(self, name: PublicationName) -> None:
        while True:
            is_watcher = self.is_watcher
            wait = self.settings.watch_wait if is_watcher else timedelta()
            answered = await self._read(name, wait)
            pause = WATCH_PAUSE if is_watcher else self.poll_interval
            if not answered:
                pause = max(pause, ERROR_PAUSE)
            await asyncio.sleep(pause.total_seconds())

    async def _read(self, name: PublicationName, wait: timedelta) -> bool:
        known = self.published.known_number(name)
        outcome = await self._client.read(name, known, wait)
        match outcome:
            case Err(error):
                self._failed(name, error.detail)
                return False
            case Ok(None):
                self._failing.discard(name)
                return True
            case Ok(publication):
                is_stale = publication.number < known
                if is_stale:
                    self._failed(name, f"stale revision {publication.number}")
                    return False
                self._failing.discard(name)
                self.published.offer(publication)
                return True

    def _failed(self, name: PublicationName, detail: str) -> None:
        if name in self._failing:
            return
        self._failing.add(name)
        is_stale = detail.startswith("stale")
        code = EventCode.RULES_STALE if is_stale else EventCode.PLATFORM_FAILED
        self.recorder.record(code, name=name, detail=detail)

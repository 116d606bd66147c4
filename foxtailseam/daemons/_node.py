"""What every process of the system is made of."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from grpclib.server import Server

from foxtailseam._version import __version__
from foxtailseam.clocks import HybridClock, PauseDetector, SystemClock
from foxtailseam.codecs import MessagePackCodec
from foxtailseam.daemons._operators import (
    JSON,
    TEXT,
    OperatorServer,
    Page,
    ProcessStatus,
)
from foxtailseam.logs import EventCode
from foxtailseam.metrics import Metrics
from foxtailseam.peers import (
    Identity,
    PeerController,
    PeerTable,
    PlatformController,
    PublishedState,
)
from foxtailseam.quarantine import QuarantineController
from foxtailseam.rpc import PeerService
from foxtailseam.searchers import LeavingSearchers
from foxtailseam.settings import Settings
from foxtailseam.timeline import Recorder
from foxtailseam.utils import new_identifier

PAUSE_TICK = timedelta(milliseconds=100)
START_RETRY = timedelta(milliseconds=250)


class Node:
    """Clock, state, peers, platform and operators' server of one process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        process = settings.process
        self.clock = SystemClock()
        self.hybrid = HybridClock(self.clock)
        self.metrics = Metrics()
        self.identity = Identity(
            process.host,
            process.name,
            process.failure_domain,
            process.peers,
            new_identifier(),
        )
        self.recorder = Recorder(
            process.host,
            process.name,
            self.identity.incarnation,
            self.clock,
            self.hybrid,
        )
        self.published = PublishedState(self.recorder)
        self.quarantine = QuarantineController(self.clock, self.hybrid)
        self.leaving = LeavingSearchers(self.clock)
        self.table = PeerTable(self.clock, self.recorder)
        self.peers = PeerController(
            self.identity,
            settings.peers,
            self.published,
            self.quarantine,
            self.leaving,
            self.table,
            self.clock,
            self.hybrid,
            self.recorder,
            self.metrics,
        )
        self.platform = PlatformController(
            self.identity,
            settings.platform,
            self.published,
            self.recorder,
            self.clock,
        )
        self.fresh = asyncio.Event()
        self._draining = False
        self._server: Server | None = None
        self._operators = OperatorServer(
            process.operators, self.clock, self._pages(), lambda: self.is_ready
        )
        self._tasks: list[asyncio.Task] = []
        self._pauses = PauseDetector(self.clock, settings.peers.pause)

    @property
    def is_draining(self) -> bool:
        """Return whether the process was told to stop."""
        return self._draining

    @property
    def is_ready(self) -> bool:
        """Return whether new work is welcome."""
        is_known = self.published.is_complete and self.fresh.is_set()
        return is_known and not self._draining

    def status(self) -> ProcessStatus:
        """Return what operators are shown of this process."""
        published = self.published
        return ProcessStatus(
            host=self.identity.host,
            process=self.identity.process,
            role=self.settings.process.role,
            failure_domain=self.identity.failure_domain,
            incarnation=self.identity.incarnation,
            version=__version__,
            ready=self.is_ready,
            draining=self._draining,
            rules=published.rules.revision.number,
            rules_digest=published.rules.revision.digest,
            snapshots=published.snapshots.revision.number,
            hosts=published.hosts.revision.number,
            suspects=self.table.suspects,
        )

    async def start(self, services: list) -> None:
        """Serve peers and operators, then learn the state before serving work."""
        await self._operators.start()
        handlers = [PeerService(self.peers), *services]
        self._server = Server(handlers, codec=MessagePackCodec())
        host, _, port = self.settings.process.peers.rpartition(":")
        await self._server.start(host, int(port))
        self._tasks.append(asyncio.create_task(self._watch_for_pauses()))
        await self._learn_state()
        self.peers.start()
        self.platform.start()
        self.fresh.set()
        self.recorder.record(EventCode.PROCESS_STARTED, version=__version__)

    def check_for_pause(self) -> None:
        """Distrust what is known if the process did not run for a while.

        To be called before work is begun: after a pause a request may come
        before the regular check.
        """
        pause = self._pauses.observe()
        if pause is None or not self.fresh.is_set():
            return
        self.fresh.clear()
        seconds = round(pause.total_seconds(), 3)
        self.recorder.record(EventCode.PAUSE_DETECTED, seconds=seconds)
        self._tasks.append(asyncio.create_task(self._refresh()))

    async def wait_until_fresh(self, bound: timedelta) -> bool:
        """Wait for the refresh after a pause; tell whether it was done in time."""
        self.check_for_pause()
        if self.fresh.is_set():
            return True
        waiter = asyncio.ensure_future(self.fresh.wait())
        await asyncio.wait({waiter}, timeout=max(0.0, bound.total_seconds()))
        waiter.cancel()
        return self.fresh.is_set()

    def drain(self) -> None:
        """Stop to be ready, and tell the peers."""
        self._draining = True
        self.recorder.record(EventCode.PROCESS_DRAINING)
        self.peers.drain()

    async def stop(self) -> None:
        """End everything; requests in flight must have ended."""
        self.recorder.record(EventCode.PROCESS_STOPPED)
        for task in self._tasks:
            task.cancel()
        self.platform.stop()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        self.peers.stop()
        self._operators.stop()

    def _pages(self) -> dict[str, Callable[[], Page]]:
        return {
            "/status": lambda: Page(JSON, msgspec.json.encode(self.status())),
            "/events": lambda: Page(JSON, msgspec.json.encode(self.recorder.events)),
            "/rules": lambda: Page(TEXT, self._rules_text().encode()),
            "/metrics": lambda: Page(TEXT, self.metrics.render().encode()),
        }

    def _rules_text(self) -> str:
        lines = self.published.rules.rules.lines
        return "".join(f"{line}\n" for line in lines)

    async def _learn_state(self) -> None:
        # Peers are asked as well, since a stale service could name an older
        # revision than the one that the fleet has accepted.
        while True:
            await asyncio.gather(self.platform.read_all(), self.peers.pull_updates())
            if self.published.is_complete:
                await self.peers.pull_updates()
                return
            await asyncio.sleep(START_RETRY.total_seconds())

    async def _watch_for_pauses(self) -> None:
        while True:
            await asyncio.sleep(PAUSE_TICK.total_seconds())
            self.check_for_pause()

    async def _refresh(self) -> None:
        try:
            # A part of the fleet that is cut off serves on with what it has.
            await asyncio.gather(self.platform.read_all(), self.peers.pull_updates())
        finally:
            self.fresh.set()

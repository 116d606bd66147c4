"""Components that entry and gather processes have in common."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from grpclib.server import Server

from foxtailseam._version import __version__
from foxtailseam.clocks import HybridClock, PauseDetector, SystemClock
from foxtailseam.codecs import MessagePackCodec
from foxtailseam.daemons._operators import (
    JSON_CONTENT_TYPE,
    TEXT_CONTENT_TYPE,
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

PAUSE_CHECK_INTERVAL = timedelta(milliseconds=100)
START_RETRY_INTERVAL = timedelta(milliseconds=250)


class Node:
    """Clocks, state, peers, platform and operators' server of one process.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        process = settings.process
        self.clock = SystemClock()
        self.hybrid_clock = HybridClock(self.clock)
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
            self.hybrid_clock,
        )
        self.published = PublishedState(self.recorder)
        self.quarantine = QuarantineController(self.clock, self.hybrid_clock)
        self.leaving = LeavingSearchers(self.clock)
        self.peer_table = PeerTable(self.clock, self.recorder)
        self.peers = PeerController(
            self.identity,
            settings.peers,
            self.published,
            self.quarantine,
            self.leaving,
            self.peer_table,
            self.clock,
            self.hybrid_clock,
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
        self.state_fresh = asyncio.Event()
        self._draining = False
        self._server: Server | None = None
        self._operators = OperatorServer(
            process.operators, self.clock, self._operator_pages(), lambda: self.is_ready
        )
        self._tasks: list[asyncio.Task] = []
        self._pause_detector = PauseDetector(self.clock, settings.peers.pause)

    @property
    def is_draining(self) -> bool:
        """Return whether the process is shutting down."""
        return self._draining

    @property
    def is_ready(self) -> bool:
        """Return whether the process accepts new work."""
        has_current_state = self.published.is_complete and self.state_fresh.is_set()
        return has_current_state and not self._draining

    def status(self) -> ProcessStatus:
        """Return the status that is shown to operators."""
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
            suspects=self.peer_table.suspects,
        )

    async def start(self, services: list) -> None:
        """Serve peers and operators, load the state, then accept work.

        Parameters
        ----------
        services : list
            gRPC handlers of the process, besides that for peers.
        """
        await self._operators.start()
        handlers = [PeerService(self.peers), *services]
        self._server = Server(handlers, codec=MessagePackCodec())
        host, _, port = self.settings.process.peers.rpartition(":")
        await self._server.start(host, int(port))
        self._tasks.append(asyncio.create_task(self._watch_for_pauses()))
        await self._load_state()
        self.peers.start()
        self.platform.start()
        self.state_fresh.set()
        self.recorder.record(EventCode.PROCESS_STARTED, version=__version__)

    def check_for_pause(self) -> None:
        """Mark the state as stale and refresh it if the process was paused.

        Call this before starting work, since a request may arrive after a
        pause and before the next periodic check.
        """
        pause = self._pause_detector.observe()
        if pause is None or not self.state_fresh.is_set():
            return
        self.state_fresh.clear()
        seconds = round(pause.total_seconds(), 3)
        self.recorder.record(EventCode.PAUSE_DETECTED, seconds=seconds)
        self._tasks.append(asyncio.create_task(self._refresh_state()))

    async def wait_until_fresh(self, timeout: timedelta) -> bool:
        """Wait for the refresh of the state after a pause.

        Parameters
        ----------
        timeout : timedelta
            Longest time to wait; a negative value counts as zero.

        Returns
        -------
        bool
            Whether the state was up to date before the timeout.
        """
        self.check_for_pause()
        if self.state_fresh.is_set():
            return True
        waiter = asyncio.ensure_future(self.state_fresh.wait())
        await asyncio.wait({waiter}, timeout=max(0.0, timeout.total_seconds()))
        waiter.cancel()
        return self.state_fresh.is_set()

    def drain(self) -> None:
        """Stop accepting new work and announce the drain to the peers."""
        self._draining = True
        self.recorder.record(EventCode.PROCESS_DRAINING)
        self.peers.drain()

    async def stop(self) -> None:
        """Stop all tasks and servers, at the end of the drain."""
        self.recorder.record(EventCode.PROCESS_STOPPED)
        for task in self._tasks:
            task.cancel()
        self.platform.stop()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        self.peers.stop()
        self._operators.stop()

    def _operator_pages(self) -> dict[str, Callable[[], Page]]:
        return {
            "/status": lambda: Page(
                JSON_CONTENT_TYPE, msgspec.json.encode(self.status())
            ),
            "/events": lambda: Page(
                JSON_CONTENT_TYPE, msgspec.json.encode(self.recorder.events)
            ),
            "/rules": lambda: Page(TEXT_CONTENT_TYPE, self._rules_text().encode()),
            "/metrics": lambda: Page(TEXT_CONTENT_TYPE, self.metrics.render().encode()),
        }

    def _rules_text(self) -> str:
        lines = self.published.rules.rules.lines
        return "".join(f"{line}\n" for line in lines)

    async def _load_state(self) -> None:
        # Updates are pulled from peers as well, since a stale configuration service may
        # return an older revision than the fleet has accepted.
        while True:
            await asyncio.gather(self.platform.read_all(), self.peers.pull_updates())
            if self.published.is_complete:
                await self.peers.pull_updates()
                return
            await asyncio.sleep(START_RETRY_INTERVAL.total_seconds())

    async def _watch_for_pauses(self) -> None:
        while True:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL.total_seconds())
            self.check_for_pause()

    async def _refresh_state(self) -> None:
        try:
            # In a network partition newer state may be out of reach; the process then
            # serves with the state it has.
            await asyncio.gather(self.platform.read_all(), self.peers.pull_updates())
        finally:
            self.state_fresh.set()

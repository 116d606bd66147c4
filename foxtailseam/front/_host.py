"""Runs the process of a host from its settings until SIGTERM."""

import asyncio
import contextlib
import gc
import os
import random
import signal
import socket
import sys
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

from result import Result

from foxtailseam.clocks import HybridClock, SuspendAwareClock
from foxtailseam.dispatch import BudgetSettings, Dispatcher
from foxtailseam.fleet import FleetController, FleetSettings, HostRecord
from foxtailseam.front._front import FrontEnd
from foxtailseam.front._knowledge import Knowledge
from foxtailseam.front._overload import OverloadGuard
from foxtailseam.front._suspicion import SuspicionGuard
from foxtailseam.front._timing import TimingSettings
from foxtailseam.http import (
    Call,
    ConnectionPool,
    HttpResponse,
    Listener,
    ListenerLimits,
    PoolSettings,
)
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.platform import (
    ECHOED_IDENTIFIER,
    READY_TARGET,
    SETTINGS_VARIABLE,
    HostSettings,
    PlatformStore,
    decode_settings,
    read_answer,
)
from foxtailseam.quarantine import QuarantineController
from foxtailseam.routing import Configuration
from foxtailseam.store import (
    Change,
    FollowerSettings,
    FollowerState,
    StoreFollower,
    StoreReplica,
)
from foxtailseam.utils import ValidationProblem

METRICS_PORT = 9180
METRICS_TARGET = b"/metrics"

CONNECT_TIMEOUT = timedelta(seconds=1)
# Sent data that stays unacknowledged for so long ends its connection.
SILENCE_TIMEOUT = timedelta(seconds=1)
# Files, listeners and connections to searchers need the rest.
CALLER_DESCRIPTOR_SHARE = 0.5
RESERVED_DESCRIPTORS = 200
# Part of the memory that bodies of requests may take together.
BODY_MEMORY_SHARE = 0.25
MEGABYTE = 1_000_000

TICK_SECONDS = 0.25
CHECK_SECONDS = 1.0
# Hosts that are assumed at least to share budgets and connections.
LEAST_HOSTS = 4
# The balancer leaves a host out after two questions without a 200, one a second.
BALANCER_LAG_SECONDS = 2.3
# From the first answers that end their connection to the end of listening.
CLOSING_SECONDS = 0.4
# Kept of the time until SIGKILL to end what is left.
GRACE_MARGIN_SECONDS = 0.5
DRAIN_CHECK_SECONDS = 0.02
# Knowledge older than this may lack what was configured since.
LEVEL_AGE_SECONDS = 3.0
# Young objects before a collection: requests make few cycles.
COLLECTION_THRESHOLD = 20_000


class Host:
    """Everything that one process consists of.

    Parameters
    ----------
    settings : HostSettings
        Identity, addresses and limits.
    listener : socket.socket or None
        Listens for callers already; None to open a socket at the start.
    """

    def __init__(self, settings: HostSettings, listener: socket.socket | None = None):
        self.settings = settings
        self.listener = listener
        self.clock = SuspendAwareClock()
        self.metrics = Metrics()
        self.log = LogWriter(sys.stdout.fileno(), settings.name, self.clock)
        self._generator = random.Random()
        loop = asyncio.get_running_loop()
        bounds = settings.bounds
        budget = BudgetSettings(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self.dispatcher = Dispatcher(
            self.clock,
            loop,
            self._open_link,
            read_answer,
            budget,
            settings.failure_domain,
            self.metrics,
            self._generator,
        )
        self.dispatcher.on_ejected = self._on_ejected
        self.knowledge = Knowledge(
            self.dispatcher, self.clock, self.log, self._generator, self._on_configured
        )
        self._guard = OverloadGuard(self.clock, self._generator)
        quarantine = QuarantineController(self.clock, HybridClock(self.clock))
        self._suspicion = SuspicionGuard(quarantine, self.log)
        self.dispatcher.on_crash = self._suspicion.crashed
        self.front = FrontEnd(
            self.knowledge,
            self.dispatcher,
            self.clock,
            self.log,
            self.metrics,
            self._is_level,
            TimingSettings(),
            self._guard,
            self._suspicion,
        )
        self._replica = StoreReplica(self._on_change)
        self._store = PlatformStore(settings.service_address, self.clock)
        self._follower = StoreFollower(
            self._store,
            self._replica,
            self.clock,
            FollowerSettings(),
            self._on_service,
            self._generator,
        )
        self._fleet = FleetController(
            self._own_record(),
            settings.seeds,
            self._replica,
            self._follower,
            self.knowledge.catalogue,
            self.clock,
            FleetSettings(),
            self.log,
            self._generator,
            self._on_members,
            quarantine,
        )
        self._suspicion.on_news = self._fleet.spread
        self._callers = Listener(self.front.serve, self.clock, self._on_unreadable)
        self._questions = Listener(self._answer_question, self.clock)
        self._reports = Listener(self._answer_report, self.clock)
        self._is_ready = False
        self._is_stopping = False
        self._tick_timer: asyncio.TimerHandle | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self.knowledge.configuration is not None and not self._is_stopping

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is in flight."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen()
        await self._fleet.start()
        self._tick()
        self.log.write(
            EventCode.PROCESS_STARTED,
            process=os.getpid(),
            callers=self.settings.callers,
            failure_domain=self.settings.failure_domain,
        )
        while not stop.is_set():
            self._fleet.check()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS):
                    await stop.wait()
        await self._drain()
        await self._fleet.stop()
        self.log.write(EventCode.PROCESS_STOPPED)
        self.log.flush()

    async def _listen(self) -> None:
        settings = self.settings
        self._set_limits(ListenerLimits())
        await self._questions.start(settings.readiness)
        await self._callers.start(settings.callers, self.listener)
        await self._reports.start(f"{settings.address}:{METRICS_PORT}")

    async def _drain(self) -> None:
        stopped_at = self.clock.monotonic()
        self._is_stopping = True
        self.log.write(EventCode.PROCESS_DRAINING, in_flight=self.front.in_flight)
        self._note_readiness()
        await self._fleet.leave()
        elapsed = self.clock.monotonic() - stopped_at
        await asyncio.sleep(max(0.0, BALANCER_LAG_SECONDS - elapsed))
        self._callers.drain()
        await asyncio.sleep(CLOSING_SECONDS)
        self._callers.stop_accepting()
        grace = self.settings.bounds.grace.total_seconds() - GRACE_MARGIN_SECONDS
        while self._callers.in_flight:
            if self.clock.monotonic() - stopped_at > grace:
                left = self._callers.in_flight
                self.log.write(EventCode.DRAIN_BOUND_REACHED, in_flight=left)
                self.front.give_up()
                break
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        self._callers.stop()
        # Lets the last answers leave.
        await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _open_link(self, address: str, limit: int) -> ConnectionPool:
        settings = PoolSettings(
            address, limit, CONNECT_TIMEOUT, SILENCE_TIMEOUT, ECHOED_IDENTIFIER
        )
        return ConnectionPool(settings, self.clock)

    def _tick(self) -> None:
        self.knowledge.catalogue.expire()
        self._note_readiness()
        self.log.flush()
        loop = asyncio.get_running_loop()
        self._tick_timer = loop.call_later(TICK_SECONDS, self._tick)

    def _note_readiness(self) -> None:
        if self.is_ready != self._is_ready:
            self._is_ready = self.is_ready
            self.log.write(EventCode.READINESS_CHANGED, ready=self._is_ready)

    def _is_level(self) -> bool:
        return self._fleet.age < LEVEL_AGE_SECONDS

    def _own_record(self) -> HostRecord:
        started_ms = int(self.clock.now().timestamp() * 1000)
        return HostRecord(self.settings.peers, self.settings.failure_domain, started_ms)

    def _on_change(self, change: Change) -> None:
        self.knowledge.take(change)
        self._fleet.changed()

    def _on_members(self, hosts: int) -> None:
        # A host that has just started may not have heard of all others.
        self.dispatcher.hosts = max(hosts, LEAST_HOSTS)
        self.metrics.set("hosts", hosts)

    def _on_configured(self, configuration: Configuration) -> None:
        self._guard.configure(configuration)
        self.front.configured()
        limits = configuration.limits
        self._set_limits(
            ListenerLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_timeout=limits.header_timeout,
                idle_timeout=limits.idle_timeout,
            )
        )

    def _set_limits(self, limits: ListenerLimits) -> None:
        descriptors = self.settings.limits.descriptors - RESERVED_DESCRIPTORS
        connections = max(1, int(descriptors * CALLER_DESCRIPTOR_SHARE))
        memory = self.settings.limits.memory_mb * MEGABYTE
        self._callers.limits = replace(
            limits,
            connections=connections,
            buffered_bytes=int(memory * BODY_MEMORY_SHARE),
        )

    def _on_service(self, state: FollowerState, reason: str) -> None:
        if state is FollowerState.LOST:
            self.log.write(EventCode.SERVICE_LOST, reason=reason)
            self.metrics.add("service_losses")
            return
        self.knowledge.catalogue.service_returned()
        self.log.write(EventCode.SERVICE_REGAINED, revision=self._replica.revision)

    def _on_ejected(self, searcher) -> None:
        self.metrics.add("searchers_ejected")
        self.log.write(
            EventCode.SEARCHER_EJECTED,
            searcher=searcher.entry.identifier,
            service=searcher.entry.service,
            failure_share=round(searcher.health.failure_share, 2),
            slowness=round(searcher.health.slowness, 1),
        )

    def _on_unreadable(self, status: int) -> None:
        self.metrics.add(f"answers_{status}")
        self.log.write(EventCode.REQUEST_UNREADABLE, status=status)

    def _answer_question(self, call: Call) -> None:
        is_question = call.request.target == READY_TARGET
        status = (200 if self.is_ready else 503) if is_question else 404
        call.respond(HttpResponse(status))

    def _answer_report(self, call: Call) -> None:
        if call.request.target != METRICS_TARGET:
            call.respond(HttpResponse(404))
            return
        self._set_gauges()
        headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        call.respond(HttpResponse(200, headers, self.metrics.render().encode()))

    def _set_gauges(self) -> None:
        metrics = self.metrics
        metrics.set("configuration_version", self.knowledge.version)
        metrics.set("service_age_seconds", min(1e6, self._fleet.age))
        metrics.set("reads_service", self._fleet.is_reading)
        metrics.set("service_calls", self._store.calls)
        metrics.set("requests_in_flight", self.front.in_flight)
        metrics.set("buffered_body_bytes", self._callers.buffered_bytes)
        searchers = self.dispatcher.searchers
        metrics.set("searchers", len(searchers))
        ejected = sum(item.health.is_ejected for item in searchers)
        metrics.set("searchers_ejected_now", ejected)

    def _reload(self) -> None:
        match read_settings():
            case result if result.is_ok():
                self.settings = result.unwrap()
                self._fleet.seeds = self.settings.seeds
                self.log.write(
                    EventCode.SETTINGS_RELOADED, seeds=len(self.settings.seeds)
                )
            case result:
                problem = str(result.unwrap_err())
                self.log.write(EventCode.SETTINGS_REFUSED, problem=problem)


def read_settings() -> Result[HostSettings, ValidationProblem]:
    """Read the settings file that the environment names."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        text = path.read_bytes()
    except OSError as error:
        text = b""
        sys.stderr.write(f"{path}: {error}\n")
    return decode_settings(text)


def run_host(listener: socket.socket | None = None) -> int:
    """Run the process; return its exit code.

    Parameters
    ----------
    listener : socket.socket or None
        Listens for callers already; None to open a socket at the start.
    """
    settings = read_settings()
    if settings.is_err():
        sys.stderr.write(f"{settings.unwrap_err()}\n")
        return 1
    gc.set_threshold(COLLECTION_THRESHOLD, 20, 20)
    gc.freeze()
    asyncio.run(_run(settings.unwrap(), listener))
    return 0


async def _run(settings: HostSettings, listener: socket.socket | None) -> None:
    await Host(settings, listener).run()

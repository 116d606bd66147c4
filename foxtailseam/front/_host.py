"""Sets up the process of a host and runs it until SIGTERM."""

import asyncio
import os
import random
import signal
import socket
import sys
from collections import Counter
from datetime import timedelta
from functools import partial

from foxtailseam.clocks import HybridClock, SuspendAwareClock
from foxtailseam.delegation import CoordinatorSelector, Delegator
from foxtailseam.dispatch import BudgetSettings, Dispatcher
from foxtailseam.fleet import (
    ChannelForwardSender,
    FleetController,
    FleetSettings,
    HostRecord,
    PeerLimits,
)
from foxtailseam.forwarding import Forwarder, PeerHost, PeerSelector
from foxtailseam.front._admission_log import AdmissionLog
from foxtailseam.front._changes import ChangeApplier
from foxtailseam.front._condition_log import ConditionLog
from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.front._connection_log import ConnectionLog
from foxtailseam.front._front import FrontEnd
from foxtailseam.front._host_log import HostLog
from foxtailseam.front._metrics_page import METRICS_PORT, MetricsPage
from foxtailseam.front._overload_guard import OverloadGuard
from foxtailseam.front._quarantine_guard import QuarantineGuard
from foxtailseam.front._readiness import Readiness
from foxtailseam.front._resource_shares import (
    SMALL_LIMITS,
    forwarded_body_bytes,
    host_shard_call_rate,
    listener_limits,
    peer_connections,
    searcher_buffer_bytes,
)
from foxtailseam.front._settings_file import read_settings
from foxtailseam.front._shutdown import Shutdown, plan_shutdown
from foxtailseam.front._spillover_log import SpilloverLog
from foxtailseam.front._timing import TimingSettings
from foxtailseam.http import BufferSpace, ConnectionPool, Listener, PoolSettings
from foxtailseam.launch import EarlySignals, ExitCode
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.platform import (
    REQUEST_ID_HEADER,
    HostSettings,
    PlatformStore,
    is_evacuation_key,
    is_used_key,
    parse_response_headers,
)
from foxtailseam.quarantine import QuarantineController
from foxtailseam.rate_limits import HostGroup
from foxtailseam.routing import CallerLimits, Configuration
from foxtailseam.store import (
    Change,
    FollowerSettings,
    FollowerState,
    Position,
    ReadFailure,
    StoreFollower,
    StoreReplica,
)
from foxtailseam.supervision import (
    FailureLog,
    LoopErrors,
    PeriodicWork,
    ProcessorWatch,
    Supervisor,
)

CONNECT_TIMEOUT = timedelta(seconds=1)
# A connection is closed when sent data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=1)
# Time in which a host that starts together with all others waits for their copy of the
# configuration service's data.
JOINT_START_PATIENCE = timedelta(seconds=3)
MAINTENANCE_INTERVAL = timedelta(milliseconds=250)
# Lower bound of the number of hosts that budgets and connections are divided by.
MIN_HOSTS = 4
# Time in which the last responses to other hosts are sent.
LAST_RESPONSES_SECONDS = 0.02
# A replica of the configuration service that was last known to be in sync longer ago
# than this may lack newer changes.
MAX_CURRENT_AGE_SECONDS = 3.0


class Host:
    """Process of a host: listeners, dispatcher, replica of the configuration service.

    Must be created inside a running event loop.

    Parameters
    ----------
    settings : HostSettings
        Identity, addresses and limits of the host.
    listening_socket : socket.socket or None
        Socket that already listens for callers; None to open one at the start.
    """

    def __init__(
        self, settings: HostSettings, listening_socket: socket.socket | None = None
    ):
        self.settings = settings
        self.listening_socket = listening_socket
        self.clock = SuspendAwareClock()
        self.metrics = Metrics()
        self.log = LogWriter(sys.stdout.fileno(), settings.name, self.clock)
        self._generator = random.Random()
        self._failures = FailureLog(self.log, self.metrics, self.clock)
        self._supervisor = Supervisor(self._failures, self.clock, self._generator)
        self._loop_errors = LoopErrors(self._failures)
        self._processor_watch = ProcessorWatch(ExitCode.LOOP_STUCK, self.log)
        loop = asyncio.get_running_loop()
        bounds = settings.bounds
        self._searcher_space = BufferSpace(searcher_buffer_bytes(settings.limits))
        budget_settings = BudgetSettings(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self.dispatcher = Dispatcher(
            self.clock,
            loop,
            self._open_pool,
            parse_response_headers,
            budget_settings,
            settings.failure_domain,
            self.metrics,
            self._generator,
        )
        self._host_log = HostLog(self.log, self.metrics)
        self.dispatcher.on_ejected = self._host_log.record_ejected
        self._condition_log = ConditionLog(self.dispatcher, self.log, self.metrics)
        self._spillover_log = SpilloverLog(self.dispatcher.locality, self.log)
        gates = self.dispatcher.gates
        gates.drain_seconds = bounds.searcher_drain.total_seconds()
        gates.warmup_excess = bounds.warmup_excess
        gates.warmup_slack = bounds.warmup_slack
        gates.on_change = self._condition_log.record_change
        gates.on_cold = self._condition_log.record_cold
        gates.on_malformed = self._condition_log.record_malformed
        gates.on_measurement = self._condition_log.record_measurement
        gates.on_slowness_end = self._condition_log.record_slowness_end
        gates.conditions.on_host_ignored = self._condition_log.record_ignored_host
        self.configuration_manager = ConfigurationManager(
            self.dispatcher,
            self.clock,
            self.log,
            self._generator,
            self._on_configuration,
        )
        self._readiness = Readiness(self.configuration_manager, self.log)
        self._overload_guard = OverloadGuard(self.clock, self._generator)
        self._counted_peers: tuple[PeerHost, ...] | None = None
        self._domain_sizes: Counter[str] = Counter()
        self._admission_log = AdmissionLog(
            self._overload_guard.fleet, self.log, self.metrics
        )
        quarantine = QuarantineController(self.clock, HybridClock(self.clock))
        self._quarantine_guard = QuarantineGuard(quarantine, self.log)
        self.dispatcher.on_crash = self._quarantine_guard.record_crash
        self.front = FrontEnd(
            self.configuration_manager,
            self.dispatcher,
            self.clock,
            self.log,
            self.metrics,
            self._is_current,
            TimingSettings(),
            self._overload_guard,
            self._quarantine_guard,
        )
        self._changes = ChangeApplier(
            self.configuration_manager,
            self._failures,
            lambda: self._fleet.change_source,
        )
        self._replica = StoreReplica(
            self._apply_change, self._on_era, is_evacuation_key
        )
        self._store = PlatformStore(settings.service_address, self.clock, is_used_key)
        self._follower = StoreFollower(
            self._store,
            self._replica,
            self.clock,
            FollowerSettings(),
            self._on_service_state,
            self._generator,
            on_failure=self._on_read_failure,
        )
        self._fleet = FleetController(
            self._own_record(),
            settings.seeds,
            self._replica,
            self._follower,
            self.configuration_manager.catalogue,
            self.clock,
            FleetSettings(
                start_patience=JOINT_START_PATIENCE
                if settings.is_joint_start
                else timedelta(),
                peer_limits=PeerLimits(peer_connections(settings.limits)),
            ),
            self.log,
            self._generator,
            self._on_members,
            quarantine,
            self.dispatcher.gates.conditions,
            self.metrics,
            self._supervisor,
        )
        self._quarantine_guard.on_update = self._fleet.gossip_now
        gates.conditions.on_slowness_change = self._fleet.gossip_now
        self._connect_admission()
        self._fleet.state_exchange.register("spillover", self.dispatcher.locality)
        self._forward_sender = ChannelForwardSender(self.clock, self._supervisor)
        self._connect_peers()
        self._caller_listener = Listener(
            self.front.serve, self.clock, self._host_log.record_unreadable_request
        )
        self._readiness_listener = Listener(self._readiness.handle, self.clock)
        metrics_page = MetricsPage(
            self.metrics,
            self.configuration_manager,
            self._fleet,
            self._replica,
            self._store,
            self.front,
            self._caller_listener,
            self._searcher_space,
            self.dispatcher,
            self._condition_log,
            self._failures,
        )
        self._metrics_listener = Listener(metrics_page.handle, self.clock)
        self._listeners = (
            self._caller_listener,
            self._readiness_listener,
            self._metrics_listener,
        )
        for listener in self._listeners[1:]:
            listener.limits = SMALL_LIMITS
        names = ("caller", "readiness", "metrics")
        self._connection_log = ConnectionLog(
            dict(zip(names, self._listeners, strict=True)),
            self.log,
            self.metrics,
            self.clock,
        )
        self._has_started = False
        self._maintenance = PeriodicWork(
            {
                "reset processor watch": self._processor_watch.reset,
                "remove expired searchers": (
                    self.configuration_manager.catalogue.remove_expired
                ),
                "check evacuations": self.configuration_manager.evacuation.check,
                "check idle links": self.dispatcher.links.check_idle,
                "remove expired slowness": self.dispatcher.gates.remove_expired,
                "log closed connections": self._connection_log.check,
                "update spillover shares": self.dispatcher.locality.update,
                "log readiness": self._readiness.log_change,
                "log admission": self._admission_log.update,
                "flush log": self.log.flush,
            },
            MAINTENANCE_INTERVAL,
            lambda delay: self.metrics.observe("loop_delay", delay),
            self._supervisor,
            self.clock,
            loop,
        )

    def _connect_admission(self) -> None:
        """Let the hosts agree on the admitted shares."""
        fleet_admission = self._overload_guard.fleet
        fleet_admission.failure_domain = self.settings.failure_domain
        fleet_admission.domain_sizes = self._count_domains
        self._fleet.state_exchange.register("admission", fleet_admission)
        self.dispatcher.allows_hedges = self._overload_guard.allows_hedges

    def _count_domains(self) -> Counter[str]:
        """Return the number of alive hosts of each failure domain."""
        peers = self._fleet.peer_hosts
        # It is asked for by each request of an overload; counting 6,700 hosts takes
        # longer than the rest of the decision.
        if peers is not self._counted_peers:
            self._counted_peers = peers
            self._domain_sizes = Counter(peer.failure_domain for peer in peers)
            self._domain_sizes[self.settings.failure_domain] += 1
        return self._domain_sizes

    def _connect_peers(self) -> None:
        """Let this host and the others forward requests to one another."""
        settings = self.settings
        peers = self.front.peers
        peers.address = settings.peers
        peers.failure_domain = settings.failure_domain
        peers.max_body_bytes = forwarded_body_bytes(settings.limits)
        peers.forwarder = Forwarder(
            self._forward_sender,
            PeerSelector(self.clock, self._generator, settings.failure_domain),
            lambda: self._fleet.peer_hosts,
            self.clock,
            self.dispatcher.timers,
        )
        peers.shard_call_rate = host_shard_call_rate(settings.limits)
        self.front.delegation.delegator = Delegator(
            self._forward_sender,
            CoordinatorSelector(
                PeerSelector(self.clock, self._generator, settings.failure_domain),
                peers.shard_call_rate,
                lambda: self._fleet.peer_hosts,
            ),
            self.clock,
            self.dispatcher.timers,
        )
        self._fleet.serve_forwarded = self.front.serve_forwarded
        self._fleet.serve_delegated = self.front.serve_delegated

    async def run(self, early_signals: EarlySignals | None = None) -> None:
        """Serve until SIGTERM or SIGINT, then drain the requests in flight.

        An error that ends the process is logged.

        Parameters
        ----------
        early_signals : EarlySignals or None
            Signals that have arrived before.
        """
        self._loop_errors.install(asyncio.get_running_loop())
        try:
            await self._run(early_signals or EarlySignals())
        except Exception as error:
            # Imported late, since most processes do not need it.
            from foxtailseam.front._process_failure import ProcessFailure

            failure = ProcessFailure(error, self._has_started)
            self.log.write(EventCode.PROCESS_FAILED, **failure.describe())
            raise
        finally:
            for listener in self._listeners:
                listener.stop()
            self._processor_watch.stop()
            self._loop_errors.remove()
            self.log.flush()

    async def _run(self, early_signals: EarlySignals) -> None:
        stop = asyncio.Event()
        self._handle_signals(stop, early_signals)
        await self._listen()
        await self._fleet.start()
        self._processor_watch.start()
        self._maintenance.run()
        self._has_started = True
        self.log.write(
            EventCode.PROCESS_STARTED,
            process=os.getpid(),
            callers=self.settings.callers,
            failure_domain=self.settings.failure_domain,
            ignored_seeds=self.settings.ignored_seeds,
        )
        await stop.wait()
        await self._drain()
        self._forward_sender.close()
        await self._fleet.stop()
        self.log.write(EventCode.PROCESS_STOPPED)

    def _handle_signals(self, stop: asyncio.Event, early: EarlySignals) -> None:
        handlers = {
            signal.SIGTERM: stop.set,
            signal.SIGINT: stop.set,
            signal.SIGHUP: self._reload_safely,
        }
        loop = asyncio.get_running_loop()
        for number, handler in handlers.items():
            loop.add_signal_handler(number, handler)
        for number in early.received:
            handlers[number]()

    async def _listen(self) -> None:
        settings = self.settings
        self._set_limits(CallerLimits())
        await self._caller_listener.start(settings.callers, self.listening_socket)
        # Callers can be served without these, so a host waits for their addresses.
        listeners = {
            settings.readiness: self._readiness_listener,
            f"{settings.address}:{METRICS_PORT}": self._metrics_listener,
        }
        for address, listener in listeners.items():
            self._supervisor.start(
                f"listen on {address}", partial(listener.start, address)
            )

    async def _drain(self) -> None:
        grace = self.settings.bounds.shutdown_grace
        schedule = plan_shutdown(self.clock.monotonic(), grace)
        self._readiness.stop()
        self.front.stop_by(schedule.end_requests_at)
        self.log.write(EventCode.PROCESS_DRAINING, in_flight=self.front.in_flight)
        self._readiness.log_change()
        shutdown = Shutdown(
            schedule,
            self._caller_listener,
            lambda: self.front.in_flight,
            self.front.abort_all,
            self._fleet.leave,
            self.clock,
            self.log,
        )
        await shutdown.run()
        await asyncio.sleep(LAST_RESPONSES_SECONDS)

    def _open_pool(self, address: str, limit: int) -> ConnectionPool:
        settings = PoolSettings(
            address, limit, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT, REQUEST_ID_HEADER
        )
        return ConnectionPool(settings, self.clock, self._searcher_space)

    def _is_current(self) -> bool:
        return self._fleet.age < MAX_CURRENT_AGE_SECONDS

    def _own_record(self) -> HostRecord:
        started_ms = int(self.clock.now().timestamp() * 1000)
        return HostRecord(
            self.settings.peers,
            self.settings.failure_domain,
            started_ms,
            shard_call_rate=host_shard_call_rate(self.settings.limits),
        )

    def _apply_change(self, change: Change) -> None:
        self._changes.apply(change)
        self._fleet.notify_followers()

    def _on_members(self, addresses: frozenset[str]) -> None:
        # A host that has just started may not know all the others yet.
        self.dispatcher.hosts = max(len(addresses), MIN_HOSTS)
        domains = {peer.failure_domain for peer in self._fleet.peer_hosts}
        domains.add(self.settings.failure_domain)
        self.dispatcher.gates.conditions.failure_domains = len(domains)
        self.dispatcher.gates.set_hosts(HostGroup(self.settings.peers, addresses))
        self.metrics.set("hosts", len(addresses))

    def _on_configuration(self, configuration: Configuration) -> None:
        self._overload_guard.configure(configuration)
        self.front.serve_waiting()
        self._set_limits(configuration.limits)

    def _set_limits(self, limits: CallerLimits) -> None:
        self._caller_listener.limits = listener_limits(self.settings.limits, limits)

    def _on_service_state(self, state: FollowerState, reason: str) -> None:
        if state is FollowerState.LOST:
            self._host_log.record_service_lost(reason)
            return
        self.configuration_manager.catalogue.service_recovered()
        self._host_log.record_service_regained(self._replica.position)

    def _on_era(self, position: Position) -> None:
        self._changes.start_era(position)
        self._host_log.record_era(position, self._fleet.change_source)

    def _on_read_failure(self, failure: ReadFailure) -> None:
        self._host_log.record_read_failure(failure, self._replica.position.revision)

    def _reload_safely(self) -> None:
        self._supervisor.run_step("reload settings", self._reload)

    def _reload(self) -> None:
        match read_settings():
            case result if result.is_ok():
                self.settings = result.unwrap()
                self._fleet.seeds = self.settings.seeds
                self.log.write(
                    EventCode.SETTINGS_RELOADED,
                    seeds=len(self.settings.seeds),
                    ignored_seeds=self.settings.ignored_seeds,
                )
            case result:
                problem = str(result.unwrap_err())
                self.log.write(EventCode.SETTINGS_REFUSED, problem=problem)

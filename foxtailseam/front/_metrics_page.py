"""Serves the metrics of a host's process."""

import time

from foxtailseam.dispatch import Dispatcher
from foxtailseam.fleet import FleetController
from foxtailseam.front._condition_log import ConditionLog
from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.front._front import FrontEnd
from foxtailseam.http import BufferSpace, Call, HttpResponse, Listener
from foxtailseam.metrics import Metrics
from foxtailseam.platform import PlatformStore
from foxtailseam.store import StoreReplica
from foxtailseam.supervision import FailureLog

METRICS_PORT = 9180
METRICS_TARGET = b"/metrics"
CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")


class MetricsPage:
    """Answers requests for the metrics.

    Parameters
    ----------
    metrics : Metrics
        Registry of the metrics.
    configuration_manager : ConfigurationManager
        The configuration in force.
    fleet : FleetController
        Where changes come from.
    replica : StoreReplica
        Replica of the configuration service.
    store : PlatformStore
        Client of the configuration service.
    front : FrontEnd
        Requests in flight.
    listener : Listener
        Buffers of callers' connections.
    searcher_space : BufferSpace
        Buffers of connections to searchers.
    dispatcher : Dispatcher
        Searchers.
    condition_log : ConditionLog
        Conditions of the searchers.
    failures : FailureLog
        Work that fails.
    """

    def __init__(
        self,
        metrics: Metrics,
        configuration_manager: ConfigurationManager,
        fleet: FleetController,
        replica: StoreReplica,
        store: PlatformStore,
        front: FrontEnd,
        listener: Listener,
        searcher_space: BufferSpace,
        dispatcher: Dispatcher,
        condition_log: ConditionLog,
        failures: FailureLog,
    ):
        self.metrics = metrics
        self.configuration_manager = configuration_manager
        self.fleet = fleet
        self.replica = replica
        self.store = store
        self.front = front
        self.listener = listener
        self.searcher_space = searcher_space
        self.dispatcher = dispatcher
        self.condition_log = condition_log
        self.failures = failures

    def handle(self, call: Call) -> None:
        """Answer a request."""
        if call.request.target != METRICS_TARGET:
            call.respond(HttpResponse(404))
            return
        self._set_gauges()
        self._set_searcher_gauges()
        body = self.metrics.render().encode()
        call.respond(HttpResponse(200, (CONTENT_TYPE,), body))

    def _set_gauges(self) -> None:
        metrics, listener = self.metrics, self.listener
        metrics.set("configuration_version", self.configuration_manager.version)
        metrics.set("service_age_seconds", min(1e6, self.fleet.age))
        metrics.set("reads_service", self.fleet.is_reading)
        metrics.set("service_era", self.replica.position.era)
        metrics.set("service_calls", self.store.calls)
        metrics.set("tasks_failing", self.failures.failing)
        metrics.set("requests_in_flight", self.front.in_flight)
        metrics.set("processor_seconds", time.process_time())
        metrics.set("buffered_body_bytes", listener.buffered_bytes)
        metrics.set("caller_connections", listener.connections)
        metrics.set("caller_connections_waiting", len(listener.schedule))
        metrics.set("queued_requests", listener.queued_requests.reserved)
        metrics.set("buffered_header_bytes", listener.header_space.reserved)
        metrics.set("unsent_response_bytes", listener.unsent_space.reserved)
        metrics.set("buffered_searcher_bytes", self.searcher_space.reserved)

    def _set_searcher_gauges(self) -> None:
        metrics, dispatcher = self.metrics, self.dispatcher
        for name, size in dispatcher.traffic.totals.items():
            metrics.set(f"bytes_{name}", size)
        metrics.set("searcher_contact_age_seconds", dispatcher.contacts.age)
        metrics.set("reaches_searchers", dispatcher.links.is_connected)
        metrics.set("searchers", len(dispatcher.searchers))
        evacuation = self.configuration_manager.evacuation
        metrics.set("evacuated_domains", len(evacuation.domains))
        metrics.set("searchers_evacuated_now", dispatcher.evacuated_searchers)
        shares = dispatcher.locality.shares.values()
        metrics.set("spillover_services", len(shares))
        metrics.set("spillover_share_lowest", min(shares, default=1.0))
        self.condition_log.set_gauges()
        ejected = sum(item.health.is_ejected for item in dispatcher.searchers)
        metrics.set("searchers_ejected_now", ejected)

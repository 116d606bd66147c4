"""Serves the metrics of a host's process."""

import time
from dataclasses import dataclass

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


@dataclass(frozen=True, slots=True)
class GaugeSources:
    """The parts of a host whose state the gauges show.

    Parameters
    ----------
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

    configuration_manager: ConfigurationManager
    fleet: FleetController
    replica: StoreReplica
    store: PlatformStore
    front: FrontEnd
    listener: Listener
    searcher_space: BufferSpace
    dispatcher: Dispatcher
    condition_log: ConditionLog
    failures: FailureLog


class MetricsPage:
    """Answers requests for the metrics.

    Parameters
    ----------
    metrics : Metrics
        Registry of the metrics.
    sources : GaugeSources
        What the gauges show.
    """

    def __init__(self, metrics: Metrics, sources: GaugeSources):
        self.metrics = metrics
        self.sources = sources

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
        metrics, sources = self.metrics, self.sources
        metrics.set("configuration_version", sources.configuration_manager.version)
        metrics.set("service_age_seconds", min(1e6, sources.fleet.age))
        metrics.set("reads_service", sources.fleet.is_reading)
        metrics.set("service_era", sources.replica.position.era)
        metrics.set("service_calls", sources.store.calls)
        metrics.set("tasks_failing", sources.failures.failing)
        metrics.set("requests_in_flight", sources.front.in_flight)
        metrics.set("processor_seconds", time.process_time())
        listener = sources.listener
        metrics.set("buffered_body_bytes", listener.buffered_bytes)
        metrics.set("buffered_header_bytes", listener.header_space.reserved)
        metrics.set("unsent_response_bytes", listener.unsent_space.reserved)
        metrics.set("buffered_searcher_bytes", sources.searcher_space.reserved)

    def _set_searcher_gauges(self) -> None:
        metrics, dispatcher = self.metrics, self.sources.dispatcher
        for name, size in dispatcher.traffic.totals.items():
            metrics.set(f"bytes_{name}", size)
        metrics.set("searcher_contact_age_seconds", dispatcher.contacts.age)
        metrics.set("reaches_searchers", dispatcher.links.is_connected)
        metrics.set("searchers", len(dispatcher.searchers))
        self.sources.condition_log.set_gauges()
        ejected = sum(item.health.is_ejected for item in dispatcher.searchers)
        metrics.set("searchers_ejected_now", ejected)

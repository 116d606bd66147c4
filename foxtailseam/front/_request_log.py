"""Log lines and metrics of the requests of one host."""

from datetime import timedelta

from foxtailseam.clocks import Clock
from foxtailseam.delegation import DelegatedQuery
from foxtailseam.dispatch import (
    GatherQuery,
    GatherResult,
    MergedAnswer,
    ServiceAnswer,
    SingleQuery,
    SingleResult,
)
from foxtailseam.forwarding import Forward, Forwarded
from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.http import Call, HttpResponse
from foxtailseam.logs import EventCode, LogWriter
from foxtailseam.metrics import Metrics
from foxtailseam.platform import RequestMetadata
from foxtailseam.reachability import ContactTracker

AnyQuery = GatherQuery | SingleQuery | Forward | DelegatedQuery
AnyResult = GatherResult | SingleResult | Forwarded

_FIRST_SERVER_ERROR = 500


class RequestLog:
    """Writes one line for the outcome of each request, and counts it.

    Parameters
    ----------
    log : LogWriter
        Log to write to.
    metrics : Metrics
        Registry of the request counters and the latency histogram.
    clock : Clock
        Source of monotonic time.
    configuration_manager : ConfigurationManager
        Source of the version in force.
    contacts : ContactTracker
        Contacts of this host with searchers.
    """

    def __init__(
        self,
        log: LogWriter,
        metrics: Metrics,
        clock: Clock,
        configuration_manager: ConfigurationManager,
        contacts: ContactTracker,
    ):
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.configuration_manager = configuration_manager
        self.contacts = contacts

    def record_response(
        self,
        routed: RoutedRequest,
        response: HttpResponse,
        result: AnyResult,
        query: AnyQuery | None,
        inputs: dict[str, object] | None = None,
    ) -> None:
        """Record the response to a request that has a route.

        Parameters
        ----------
        routed : RoutedRequest
            The request.
        response : HttpResponse
            Response that was sent.
        result : AnyResult
            Result that the response was built from.
        query : AnyQuery or None
            How the request was sent; None if it was not.
        inputs : dict of str to object or None
            Inputs of the decision to refuse it.
        """
        elapsed = self.clock.monotonic() - routed.times.started_at
        self.metrics.observe("request_latency", timedelta(seconds=elapsed))
        fields = self._base_fields(routed, response) | (inputs or {})
        if query is not None:
            fields |= self._query_fields(query)
        code, result_fields = self._outcome(result)
        self.metrics.add(f"answers_{response.status}")
        self.log.write(code, routed.request_id, **fields, **result_fields)

    def record_rejection(
        self, call: Call, metadata: RequestMetadata, reason: str, response: HttpResponse
    ) -> None:
        """Record the response to a request that has no usable route.

        Parameters
        ----------
        call : Call
            The caller's request.
        metadata : RequestMetadata
            Identifier and remaining time from its headers.
        reason : str
            Why it was rejected.
        response : HttpResponse
            Response that was sent.
        """
        self.metrics.add(f"answers_{response.status}")
        self.log.write(
            EventCode.REQUEST_REFUSED,
            metadata.identifier.decode("latin-1"),
            reason=reason,
            host_header=call.request.host,
            path=call.request.path,
            version=self.configuration_manager.version,
            version_age_ms=self._version_age_ms,
            status=response.status,
        )

    def record_abandoned(self, routed: RoutedRequest) -> None:
        """Record that the caller has disconnected before its response."""
        self.metrics.add("requests_abandoned")
        self.log.write(
            EventCode.REQUEST_ABANDONED,
            routed.request_id,
            route=routed.route.name,
            ms=self._elapsed_ms(routed),
        )

    def record_forwarding(self, routed: RoutedRequest, reason: str) -> None:
        """Record that a request is forwarded to another host.

        Parameters
        ----------
        routed : RoutedRequest
            The request.
        reason : str
            State of the links to the searchers, or how the request failed here.
        """
        self.metrics.add("forwards_sent")
        self._record_hop(EventCode.REQUEST_FORWARDED, routed, reason)

    def record_declined(self, routed: RoutedRequest, reason: str) -> None:
        """Record that a forwarded request is given back to the host it came from.

        Parameters
        ----------
        routed : RoutedRequest
            The request.
        reason : str
            State of the links to the searchers, or how the request failed here.
        """
        self.metrics.add("forwards_declined")
        sender = routed.call.forward.sender
        self._record_hop(EventCode.FORWARD_DECLINED, routed, reason, sender=sender)

    def count_delegated(self) -> None:
        """Count a query that is delegated; its line is written when it ends."""
        self.metrics.add("delegations_sent")

    def record_returned(
        self, routed: RoutedRequest, reason: str, coordinator: str
    ) -> None:
        """Record that a coordinator has not answered a delegated query.

        Parameters
        ----------
        routed : RoutedRequest
            The query.
        reason : str
            Why.
        coordinator : str
            The coordinator, and whether it had accepted the query.
        """
        self.metrics.add("delegations_returned")
        self._record_hop(
            EventCode.DELEGATION_RETURNED, routed, reason, coordinator=coordinator
        )

    def _record_hop(
        self, code: EventCode, routed: RoutedRequest, reason: str, **fields: object
    ) -> None:
        self.log.write(
            code,
            routed.request_id,
            route=routed.route.name,
            reason=reason,
            ms=self._elapsed_ms(routed),
            **fields,
            **self._contact_fields(),
        )

    @property
    def _version_age_ms(self) -> int:
        return int(self.configuration_manager.age * 1000)

    def _base_fields(
        self, routed: RoutedRequest, response: HttpResponse
    ) -> dict[str, object]:
        fields = {
            "route": routed.route.name,
            "version": routed.version,
            "version_age_ms": self._version_age_ms,
            "status": response.status,
            "ms": self._elapsed_ms(routed),
        }
        if routed.call.forward is not None:
            fields["sender"] = routed.call.forward.sender
        return fields

    def _query_fields(self, query: AnyQuery) -> dict[str, object]:
        fields: dict[str, object] = {
            "hedges": query.hedges,
            "tried": query.describe(),
        }
        if query.late_shards:
            fields["late_shards"] = query.late_shards
        if isinstance(query, GatherQuery):
            fields |= self._gather_fields(query)
        return fields

    def _gather_fields(self, query: GatherQuery) -> dict[str, object]:
        """Count the missing shards; return the fields on how the query was sent."""
        sending = query.sending
        if sending is None:
            return {}
        for cause, count in query.missing_causes.items():
            self.metrics.add(f"missing_{cause.replace('-', '_')}", count)
        self.metrics.observe("query_written", timedelta(seconds=sending.written))
        return {
            "started_ms": round(sending.started * 1000, 1),
            "written_ms": round(sending.written * 1000, 1),
            "unwritten": sending.unwritten,
            "connections": sending.connections,
            "denied": query.denied,
        }

    def _outcome(self, result: AnyResult) -> tuple[EventCode, dict[str, object]]:
        """Count the outcome; return its event and the fields that tell it."""
        match result:
            case MergedAnswer(stamps=stamps, missing=missing):
                self.metrics.add("requests_partial" if missing else "requests_complete")
                fields = {"parts": len(stamps), "missing": missing}
                return EventCode.REQUEST_SERVED, fields
            case ServiceAnswer():
                self.metrics.add("requests_forwarded")
                return EventCode.REQUEST_SERVED, {}
            case Forwarded():
                return self._forwarded_outcome(result)
            case _:
                self.metrics.add(f"failures_{result.reason.replace('-', '_')}")
                is_refused = not result.may_have_run
                code = (
                    EventCode.REQUEST_REFUSED
                    if is_refused
                    else EventCode.REQUEST_FAILED
                )
                return code, {"reason": result.reason, **self._contact_fields()}

    def _forwarded_outcome(
        self, result: Forwarded
    ) -> tuple[EventCode, dict[str, object]]:
        fields = {"served_by": result.host}
        if result.is_refused:
            self.metrics.add("forwards_refused")
            return EventCode.REQUEST_REFUSED, fields
        if result.response.status >= _FIRST_SERVER_ERROR:
            self.metrics.add("forwards_failed")
            return EventCode.REQUEST_FAILED, fields
        self.metrics.add("forwards_served")
        return EventCode.REQUEST_SERVED, fields

    def _contact_fields(self) -> dict[str, object]:
        contacts = self.contacts
        return {
            "contact_age_ms": round(contacts.age * 1000),
            "silent": contacts.silent,
            "unconnectable": contacts.unconnectable,
        }

    def _elapsed_ms(self, routed: RoutedRequest) -> float:
        return round((self.clock.monotonic() - routed.times.started_at) * 1000, 1)

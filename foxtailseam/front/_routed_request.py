"""A caller's request that has a route."""

from dataclasses import dataclass

from foxtailseam.dispatch import QueryTimes
from foxtailseam.front._responses import ResponseBuilder
from foxtailseam.http import Call
from foxtailseam.platform import RequestMetadata
from foxtailseam.routing import Route


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request that has a route and at least one service to send it to.

    Parameters
    ----------
    call : Call
        The caller's request.
    responses : ResponseBuilder
        Builder of the responses to it.
    route : Route
        Route of the request.
    services : tuple of str
        The service to send it to, or one service for each shard.
    times : QueryTimes
        Points in time by which it must be answered.
    metadata : RequestMetadata
        Identifier and remaining time from the caller's headers.
    version : int
        Version of the configuration that routed the request.
    has_run_before : bool
        Whether another host may have run the request already.
    """

    call: Call
    responses: ResponseBuilder
    route: Route
    services: tuple[str, ...]
    times: QueryTimes
    metadata: RequestMetadata
    version: int
    has_run_before: bool = False

    @property
    def request_id(self) -> str:
        """Return the identifier of the request as text for the log."""
        return self.metadata.identifier.decode("latin-1")

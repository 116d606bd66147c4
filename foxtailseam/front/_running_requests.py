"""Requests of a host that wait for searchers or for another host."""

from collections.abc import Iterator

from foxtailseam.front._request_log import AnyQuery
from foxtailseam.front._routed_request import RoutedRequest
from foxtailseam.http import Call


class RunningRequests:
    """Registry of the requests in progress, each with the query that serves it."""

    def __init__(self):
        self._queries: dict[int, tuple[RoutedRequest, AnyQuery]] = {}

    def __len__(self) -> int:
        return len(self._queries)

    def __contains__(self, routed: RoutedRequest) -> bool:
        return id(routed) in self._queries

    def __iter__(self) -> Iterator[tuple[RoutedRequest, AnyQuery]]:
        # A copy, since a request may end while the others are visited.
        return iter(list(self._queries.values()))

    def add(self, routed: RoutedRequest, query: AnyQuery) -> None:
        """Add a request, or replace the query that serves it."""
        self._queries[id(routed)] = (routed, query)

    def find(self, routed: RoutedRequest) -> AnyQuery:
        """Return the query that serves a request in progress."""
        return self._queries[id(routed)][1]

    def count_calls_for_others(self) -> int:
        """Return the number of shards that queries of other hosts call."""
        return sum(
            len(routed.services)
            for routed, _ in self._queries.values()
            if routed.call.forward is not None
        )

    def find_by_call(self, call: Call) -> RoutedRequest | None:
        """Return the request in progress that answers a call, if there is one."""
        return next((routed for routed, _ in self if routed.call is call), None)

    def remove(self, routed: RoutedRequest) -> AnyQuery:
        """Remove a request in progress and return the query that serves it."""
        _, query = self._queries.pop(id(routed))
        return query

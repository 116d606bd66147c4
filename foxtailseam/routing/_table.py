"""Matches requests to routes by host name and path prefix."""

from collections.abc import Iterable

from foxtailseam.routing._model import Route


class RouteTable:
    """Finds the route with the longest path prefix that matches a request.

    Parameters
    ----------
    routes : iterable of Route
        All routes of one configuration.
    """

    def __init__(self, routes: Iterable[Route]):
        self.routes = tuple(routes)
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Value of the Host header; case and port are ignored.
        path : str
            Path of the request, without its query.
        """
        prefixes = self._by_host.get(_normalize_host(host))
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _normalize_host(host: str) -> str:
    name, colon, port = host.rpartition(":")
    is_port = bool(colon) and port.isdigit()
    return (name if is_port else host).lower()

"""Finds the route of a request."""

from collections.abc import Iterable

from foxtailseam.routing._model import Route


class RouteTable:
    """Routes by host, the longest matching prefix first.

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
            Value of the Host header; a port and the case don't matter.
        path : str
            Path of the request, without its query.
        """
        prefixes = self._by_host.get(_host_name(host))
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(":")
    is_port = bool(colon) and port.isdigit()
    return (name if is_port else host).lower()

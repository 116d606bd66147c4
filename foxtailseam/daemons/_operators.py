"""The operators' address: status, metrics and events, over HTTP."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from cheroot import wsgi

if TYPE_CHECKING:
    from foxtailseam.daemons._node import Node

THREADS = 2
JSON = "application/json"
TEXT = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True)
class ProcessStatus:
    """What operators are shown of one process."""

    host: str
    process: str
    role: str
    failure_domain: str
    incarnation: str
    version: str
    ready: bool
    draining: bool
    rules: int
    rules_digest: str
    snapshots: int
    hosts: int
    suspects: tuple[str, ...]


@dataclass(frozen=True)
class _Page:
    content_type: str
    body: bytes


class OperatorServer:
    """Serves ``/status``, ``/metrics``, ``/events``, ``/rules`` and ``/ready``.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    node : Node
        The process that is shown.
    """

    def __init__(self, address: str, node: "Node"):
        self.address = address
        self.node = node
        host, _, port = address.rpartition(":")
        bind = (host, int(port))
        self._server = wsgi.Server(bind, self._answer, numthreads=THREADS)
        self._pages: dict[str, Callable[[], _Page]] = {
            "/status": lambda: _json(self.node.status()),
            "/events": lambda: _json(self.node.recorder.events),
            "/rules": self._rules,
            "/metrics": lambda: _Page(TEXT, self.node.metrics.render().encode()),
        }

    def start(self) -> None:
        """Listen, and serve from a thread of its own."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _answer(self, environ, start_response) -> list[bytes]:
        path = environ["PATH_INFO"]
        if path == "/ready":
            status = "200 OK" if self.node.is_ready else "503 Service Unavailable"
            start_response(status, [("Content-Length", "0")])
            return [b""]
        make = self._pages.get(path)
        if make is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        page = make()
        headers = [
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(page.body))),
        ]
        start_response("200 OK", headers)
        return [page.body]

    def _rules(self) -> _Page:
        lines = self.node.published.rules.rules.lines
        return _Page(TEXT, "".join(f"{line}\n" for line in lines).encode())


def _json(value: object) -> _Page:
    return _Page(JSON, msgspec.json.encode(value))

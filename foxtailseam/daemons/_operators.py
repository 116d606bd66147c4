"""HTTP interface for operators: status, events, rules and metrics."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from foxtailseam.clocks import Clock
from foxtailseam.http import Call, HttpResponse, Listener

JSON_CONTENT_TYPE = b"application/json"
TEXT_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@dataclass(frozen=True)
class ProcessStatus:
    """Status of one process, as shown to operators.

    Parameters
    ----------
    host, process, role, failure_domain : str
        Identity and role of the process, from its settings.
    incarnation : str
        Identifier of this run of the process.
    version : str
        Version of the package.
    ready : bool
        Whether the process accepts new work.
    draining : bool
        Whether the process is shutting down.
    rules, snapshots, hosts : int
        Numbers of the revisions in force.
    rules_digest : str
        Digest of the rules in force.
    suspects : tuple of str
        Addresses of peers that are suspected to be down.
    """

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
class Page:
    """Content served under one path.

    Parameters
    ----------
    content_type : bytes
        Value of the ``Content-Type`` header.
    body : bytes
        Body of the response.
    """

    content_type: bytes
    body: bytes


class OperatorServer:
    """HTTP server that serves pages by their path, and ``/ready``.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    clock : Clock
        Source of monotonic time.
    pages : mapping of str to callable
        Functions that build the page of a path on each request.
    is_ready : callable
        Returns whether the process accepts new work.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        pages: Mapping[str, Callable[[], Page]],
        is_ready: Callable[[], bool],
    ):
        self.address = address
        self.clock = clock
        self.pages = pages
        self.is_ready = is_ready
        self._listener = Listener(self._respond, clock)

    async def start(self) -> None:
        """Start listening on the address."""
        await self._listener.start(self.address)

    def stop(self) -> None:
        """Stop listening."""
        self._listener.stop()

    def _respond(self, call: Call) -> None:
        path = call.request.path
        make_page = self.pages.get(path)
        if path == "/ready":
            call.respond(HttpResponse(200 if self.is_ready() else 503))
        elif make_page is None:
            call.respond(HttpResponse(404))
        else:
            page = make_page()
            headers = ((b"Content-Type", page.content_type),)
            call.respond(HttpResponse(200, headers, page.body))

"""The operators' address: status, metrics and events, over HTTP."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from foxtailseam.clocks import Clock
from foxtailseam.http import Call, HttpResponse, Listener

JSON = b"application/json"
TEXT = b"text/plain; version=0.0.4; charset=utf-8"


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
class Page:
    """What is served under one path.

    Parameters
    ----------
    content_type : bytes
        Of the body.
    body : bytes
        Whole body.
    """

    content_type: bytes
    body: bytes


class OperatorServer:
    """Serves pages by their path, and ``/ready``.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    clock : Clock
        Source of monotonic time.
    pages : mapping of str to callable
        Makes the page of each path when it is asked for.
    is_ready : callable
        Returns whether the process welcomes new work.
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
        self._listener = Listener(self._answer, clock)

    async def start(self) -> None:
        """Listen."""
        await self._listener.start(self.address)

    def stop(self) -> None:
        """Stop listening."""
        self._listener.stop()

    def _answer(self, call: Call) -> None:
        path = call.request.path
        make = self.pages.get(path)
        if path == "/ready":
            call.respond(HttpResponse(200 if self.is_ready() else 503))
        elif make is None:
            call.respond(HttpResponse(404))
        else:
            page = make()
            headers = ((b"Content-Type", page.content_type),)
            call.respond(HttpResponse(200, headers, page.body))

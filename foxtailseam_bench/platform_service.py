"""Test double of the platform's configuration service.

Published protocol: ``GET /values/NAME?after=N&wait=SECONDS`` returns the value with
its revision in ``X-Revision``, or 304 if the revision is still N after the wait.
``PUT /control/values/NAME`` publishes a new value, ``POST /control/fault`` sets the
faults to inject and ``GET /control/counts`` returns the counters.
"""

import asyncio
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from foxtailseam_bench._http import Connection, HttpRequest, HttpResponse


@dataclass(frozen=True)
class PlatformFault:
    """The faults that the service injects.

    Parameters
    ----------
    down : bool
        Whether every read gets 503.
    stale_by : int
        Number of revisions by which reads lag behind the newest one.
    delay_ms : int
        Delay before each read, in milliseconds.
    """

    down: bool = False
    stale_by: int = 0
    delay_ms: int = 0


@dataclass(frozen=True)
class PlatformCounts:
    """The numbers of reads, of watches among them, and of bytes of values served."""

    reads: int
    watches: int
    bytes: int


class PlatformService:
    """Keeps every revision of every value and serves the newest visible one."""

    def __init__(self):
        self._values: dict[str, list[bytes]] = {}
        self._changed = asyncio.Condition()
        self._fault = PlatformFault()
        self._reads = 0
        self._watches = 0
        self._bytes = 0

    async def handle(
        self, connection: Connection, request: HttpRequest
    ) -> HttpResponse | None:
        """Handle a read, a watch or a control call."""
        name = request.path.rpartition("/")[2]
        match request.method, request.path.split("/")[1:-1]:
            case "GET", ["values"]:
                return await self._read(name, request)
            case "PUT", ["control", "values"]:
                return await self._publish(name, request.body)
            case "POST", ["control"] if name == "fault":
                self._fault = msgspec.json.decode(request.body, type=PlatformFault)
                return HttpResponse()
            case "GET", ["control"] if name == "counts":
                counts = PlatformCounts(self._reads, self._watches, self._bytes)
                return HttpResponse(body=msgspec.json.encode(counts))
        return HttpResponse(404)

    async def _publish(self, name: str, value: bytes) -> HttpResponse:
        async with self._changed:
            self._values.setdefault(name, []).append(value)
            self._changed.notify_all()
        return HttpResponse(headers={"X-Revision": str(len(self._values[name]))})

    async def _read(self, name: str, request: HttpRequest) -> HttpResponse:
        arguments = parse_qs(request.query)
        after = int(arguments.get("after", ["0"])[0])
        wait = float(arguments.get("wait", ["0"])[0])
        self._reads += 1
        self._watches += wait > 0
        await asyncio.sleep(self._fault.delay_ms / 1000)
        if wait:
            await self._wait_for_change(name, after, wait)
        revision = self._visible_revision(name)
        if self._fault.down:
            return HttpResponse(503)
        if not revision:
            return HttpResponse(404)
        if revision == after:
            return HttpResponse(304)
        value = self._values[name][revision - 1]
        self._bytes += len(value)
        return HttpResponse(200, value, {"X-Revision": str(revision)})

    async def _wait_for_change(self, name: str, after: int, seconds: float) -> None:
        async with self._changed:
            changed = self._changed.wait_for(
                lambda: self._fault.down or self._visible_revision(name) != after
            )
            try:
                await asyncio.wait_for(changed, seconds)
            except TimeoutError:
                return

    def _visible_revision(self, name: str) -> int:
        published = len(self._values.get(name, ()))
        return max(min(1, published), published - self._fault.stale_by)


async def serve_platform(address: str) -> None:
    """Serve on ``IP:PORT`` until cancelled."""
    service = PlatformService()
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Connection(service.handle, lambda _: None, lambda _: None),
        host,
        int(port),
    )
    await server.serve_forever()

"""Stand-in of the platform's configuration service.

Published protocol: ``GET /values/NAME?after=N&wait=SECONDS`` gives the value with
its revision in ``X-Revision``, or 304 while it is still N. Operators hand over a
new value with ``PUT /control/values/NAME``; ``POST /control/fault`` sets faults.
"""

import asyncio
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from foxtailseam_bench._http import Connection, HttpAnswer, HttpRequest


@dataclass(frozen=True)
class PlatformFault:
    """How the service misbehaves.

    Parameters
    ----------
    down : bool
        Every read gets 503.
    stale_by : int
        Reads get the value so many revisions back.
    delay_ms : int
        Each read waits that long first.
    """

    down: bool = False
    stale_by: int = 0
    delay_ms: int = 0


@dataclass(frozen=True)
class PlatformCounts:
    """What the service has served."""

    reads: int
    watches: int
    bytes: int


class PlatformService:
    """Holds every revision of every value, and serves the newest."""

    def __init__(self):
        self._values: dict[str, list[bytes]] = {}
        self._changed = asyncio.Condition()
        self._fault = PlatformFault()
        self._reads = 0
        self._watches = 0
        self._bytes = 0

    async def handle(
        self, connection: Connection, request: HttpRequest
    ) -> HttpAnswer | None:
        """Answer a read, a watch or a control call."""
        name = request.path.rpartition("/")[2]
        match request.method, request.path.split("/")[1:-1]:
            case "GET", ["values"]:
                return await self._read(name, request)
            case "PUT", ["control", "values"]:
                return await self._publish(name, request.body)
            case "POST", ["control"] if name == "fault":
                self._fault = msgspec.json.decode(request.body, type=PlatformFault)
                return HttpAnswer()
            case "GET", ["control"] if name == "counts":
                counts = PlatformCounts(self._reads, self._watches, self._bytes)
                return HttpAnswer(body=msgspec.json.encode(counts))
        return HttpAnswer(404)

    async def _publish(self, name: str, value: bytes) -> HttpAnswer:
        async with self._changed:
            self._values.setdefault(name, []).append(value)
            self._changed.notify_all()
        return HttpAnswer(headers={"X-Revision": str(len(self._values[name]))})

    async def _read(self, name: str, request: HttpRequest) -> HttpAnswer:
        arguments = parse_qs(request.query)
        after = int(arguments.get("after", ["0"])[0])
        wait = float(arguments.get("wait", ["0"])[0])
        self._reads += 1
        self._watches += wait > 0
        await asyncio.sleep(self._fault.delay_ms / 1000)
        if wait:
            await self._wait(name, after, wait)
        number = self._visible(name)
        if self._fault.down:
            return HttpAnswer(503)
        if not number:
            return HttpAnswer(404)
        if number == after:
            return HttpAnswer(304)
        value = self._values[name][number - 1]
        self._bytes += len(value)
        return HttpAnswer(200, value, {"X-Revision": str(number)})

    async def _wait(self, name: str, after: int, seconds: float) -> None:
        async with self._changed:
            changed = self._changed.wait_for(
                lambda: self._fault.down or self._visible(name) != after
            )
            try:
                await asyncio.wait_for(changed, seconds)
            except TimeoutError:
                return

    def _visible(self, name: str) -> int:
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

"""Test doubles of the users' platform: its metadata store and its searchers."""

import asyncio
import json
from base64 import b64encode
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

PAGE_SIZE = 50
REASON_PHRASES = {
    200: "OK",
    404: "Not Found",
    410: "Gone",
    421: "Misdirected",
    503: "Busy",
}


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, dict, bytes]:
    """Read a request; return its method, target, headers and body.

    Names of headers are returned in lower case.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def render(status: int, headers: dict, body: bytes) -> bytes:
    """Return an HTTP/1.1 response as bytes."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class StandInStore:
    """The metadata store: ranges of keys in pages, watches, and injected faults.

    Attributes
    ----------
    is_unavailable : bool
        Whether each call gets 503, waiting watches at their next event or timeout.
    is_silent : bool
        Whether calls get no response at all.
    loses_answers : bool
        Whether the response that is due is not sent, and nothing more is sent on its
        connection, which stays open.
    calls, listings : int
        Number of calls received, and of pages of listings of all keys among them.
    era : int or None
        Era that each response names in its header; None to name none.
    """

    def __init__(self):
        self.is_unavailable = False
        self.is_silent = False
        self.loses_answers = False
        self.calls = 0
        self.listings = 0
        self.era: int | None = None
        self._events: list[dict] = []
        self._revision = 1
        self._oldest = 1
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    def put(self, key: str, value: bytes | dict) -> int:
        """Write a key, a dict as JSON; return its revision."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self._revision += 1
        text = b64encode(value).decode()
        event = {"key": key, "value": text, "revision": self._revision}
        self._append(event)
        return self._revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._revision += 1
        self._append({"key": key, "revision": self._revision, "removed": True})

    def compact(self) -> None:
        """Discard the history and reset all connections.

        Watches from an earlier revision then get 410.
        """
        newest = {event["key"]: event for event in self._events}
        self._events = [e for e in newest.values() if not e.get("removed")]
        self._oldest = self._revision + 1
        self._revision += 1
        self.reset_connections()

    def restore(self, lost_revisions: int) -> None:
        """Come back from an older copy that lacks the last changes.

        Revisions are given out again, and all connections are reset.
        """
        self._revision -= lost_revisions
        self._events = [e for e in self._events if e["revision"] <= self._revision]
        self.era = (self.era or 0) + 1
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def handle_connection(self, reader, writer) -> None:
        """Serve one connection."""
        self._writers.add(writer)
        try:
            while True:
                _, target, _, _ = await read_request(reader)
                self.calls += 1
                if self.is_silent:
                    await asyncio.Event().wait()
                self.listings += target.startswith("/-/kv-range?path_prefix=&")
                self.listings += target == "/-/kv-range?path_prefix="
                response = await self._respond(target)
                if self.loses_answers:
                    await asyncio.Event().wait()
                writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self._writers.discard(writer)

    def _append(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, target: str) -> bytes:
        if self.is_unavailable:
            return self._render(503, b"")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/kv-range":
            return self._range(query)
        return await self._watch(query)

    def _range(self, query: dict) -> bytes:
        newest = {event["key"]: event for event in self._events}
        keys = sorted(k for k, e in newest.items() if not e.get("removed"))
        keys = [key for key in keys if key.startswith(query.get("path_prefix", ""))]
        keys = [key for key in keys if key > query.get("after", "")]
        page = [newest[key] for key in keys[:PAGE_SIZE]]
        return self._json(items=page, has_more=len(keys) > PAGE_SIZE)

    async def _watch(self, query: dict) -> bytes:
        after = int(query["after"])
        if after < self._oldest - 1 or after > self._revision:
            return self._render(410, b"")
        end = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            events = [e for e in self._events if e["revision"] > after]
            remaining = end - asyncio.get_running_loop().time()
            if events or remaining <= 0 or self.is_unavailable:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                break
        if self.is_unavailable:
            return self._render(503, b"")
        return self._json(events=events)

    def _json(self, **fields) -> bytes:
        body = json.dumps(fields | {"current_rev": self._revision}).encode()
        return self._render(200, body)

    def _render(self, status: int, body: bytes) -> bytes:
        headers = {"Content-Type": "application/json"}
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        return render(status, headers, body)


@dataclass
class StandInSearcher:
    """A searcher that implements the platform's protocol.

    Parameters
    ----------
    identifier : str
        Identifier of the instance; requests that expect another one get 421.
    records : bytes
        Body of each response.
    seconds : float
        Service time of a request; 0 for a millisecond.
    loses_answers : bool
        Whether each request is run and its connection then reset without a response.
    breaks_off : bool
        Whether each response ends, with its connection, in the middle of its body.
    repeats_after : float or None
        Seconds from each response until a second copy of it is sent on the same
        connection; None to send none.
    echoes_target : bool
        Whether the body of a response is the target of its request.
    sheds : bool
        Whether every request is refused with 503 without being run.
    is_leaving : bool
        Whether each response says that the searcher is about to stop.
    pause_seconds : float or None
        Pause that a rejection asks for; None to ask for none.
    runs : list of tuple of str, str, bytes
        Method, target and body of each request that was run.
    rejections : int
        Number of requests that were refused because of `sheds`.
    cancelled : int
        Number of requests whose caller closed the connection during the run.
    address : str
        Address to publish, ``IP:PORT``.
    zone : str
        Failure domain to publish.
    warmup_ms : int
        Time left to publish for which the searcher is cold.
    """

    identifier: str
    records: bytes = b""
    seconds: float = 0.0
    loses_answers: bool = False
    breaks_off: bool = False
    repeats_after: float | None = None
    echoes_target: bool = False
    sheds: bool = False
    is_leaving: bool = False
    pause_seconds: float | None = None
    rejections: int = 0
    runs: list[tuple[str, str, bytes]] = field(default_factory=list)
    cancelled: int = 0
    address: str = ""
    zone: str = "d1"
    warmup_ms: int = 0

    async def handle_connection(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                response_headers = {
                    "Foxtailseam-Request-Id": headers["foxtailseam-request-id"]
                }
                if self.is_leaving:
                    response_headers["Server-Leaving"] = "1"
                if headers["foxtailseam-expect-instance"] != self.identifier:
                    writer.write(render(421, response_headers, b""))
                elif self.sheds:
                    self.rejections += 1
                    response_headers["Foxtailseam-Not-Executed"] = "1"
                    if self.pause_seconds is not None:
                        response_headers["Retry-After"] = f"{self.pause_seconds:g}"
                    writer.write(render(503, response_headers, b""))
                else:
                    await self._run(
                        reader, writer, (method, target, body), response_headers
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _run(self, reader, writer, request, headers: dict) -> None:
        self.runs.append(request)
        disconnect = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait({disconnect}, timeout=self.seconds or 0.001)
        if done:
            self.cancelled += 1
            raise ConnectionError("the caller closed the connection")
        disconnect.cancel()
        await asyncio.gather(disconnect, return_exceptions=True)
        if self.loses_answers:
            writer.transport.abort()
            raise ConnectionError("reset in place of a response (loses_answers)")
        headers["Foxtailseam-Server-Stamp"] = f"stamp-{self.identifier}"
        body = request[1].encode() if self.echoes_target else self.records
        response = render(200, headers, body)
        if self.breaks_off:
            writer.write(response[: -len(body) // 2])
            raise ConnectionError("closed in the middle of a response (breaks_off)")
        writer.write(response)
        if self.repeats_after is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.repeats_after, writer.write, response)

    def entry(self, service: str, state: str = "ready") -> dict:
        """Return the entry that the searcher publishes in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "max_concurrency": 2,
            "state": state,
            "warmup_left_ms": self.warmup_ms,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

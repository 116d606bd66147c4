"""Stand-in of the platform's metadata store, which works all the time."""

import asyncio
import contextlib
import json
import time
from base64 import b64encode
from urllib.parse import parse_qs, urlsplit

from stand_ins.wire import read_request, render_response

PAGE_SIZE = 50


class Store:
    """Keys with a revision each, in pages and watches."""

    def __init__(self):
        self._revision = 1
        self._events: list[dict] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict) -> None:
        """Write a key."""
        text = b64encode(json.dumps(value).encode()).decode()
        self._add({"key": key, "value": text})

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._add({"key": key, "removed": True})

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while True:
                _, target, _, _ = await read_request(reader)
                writer.write(await self._respond(target))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _add(self, event: dict) -> None:
        self._revision += 1
        self._events.append(event | {"revision": self._revision})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, target: str) -> bytes:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("path_prefix", "")
        if parts.path == "/-/kv-range":
            return self._range(prefix, query.get("after", ""))
        return await self._watch(prefix, int(query["after"]), int(query["wait_ms"]))

    def _range(self, prefix: str, after: str) -> bytes:
        newest = {event["key"]: event for event in self._events}
        keys = sorted(
            key
            for key, event in newest.items()
            if not event.get("removed") and key.startswith(prefix) and key > after
        )
        items = [newest[key] for key in keys[:PAGE_SIZE]]
        return self._render(items=items, has_more=len(keys) > PAGE_SIZE)

    async def _watch(self, prefix: str, after: int, wait_ms: int) -> bytes:
        if after > self._revision:
            return render_response(410, [], b"")
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return self._render(events=events)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _render(self, **fields) -> bytes:
        body = json.dumps(fields | {"current_rev": self._revision}).encode()
        return render_response(200, [("Content-Type", "application/json")], body)

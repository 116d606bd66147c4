"""Reads of the platform's metadata store, the configuration service."""

import binascii
from base64 import b64decode
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import urlencode

import msgspec

from foxtailseam.clocks import Clock
from foxtailseam.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpResponse,
    PoolSettings,
    Received,
    render_request_head,
)
from foxtailseam.store import (
    Change,
    HistoryGone,
    Item,
    Listing,
    Removal,
    StoreFailure,
    WatchResult,
)

_OK = 200
_GONE = 410
# Above the store's slowest usual answer; it has no time limit of its own.
_READ_TIMEOUT = timedelta(seconds=1.5)
_CONNECT_TIMEOUT = timedelta(seconds=1)
_SILENCE_TIMEOUT = timedelta(seconds=2)
_PROBE_INTERVAL = timedelta(seconds=1)
# One watch waits; a listing may go beside it.
_CONNECTIONS = 3
_MAX_PAGES = 2_000


@dataclass(frozen=True)
class _Item:
    key: str
    revision: int
    value: str = ""
    # Set on events only: the key is gone since this revision.
    removed: bool = False


@dataclass(frozen=True)
class _Page:
    items: tuple[_Item, ...]
    current_rev: int
    has_more: bool = False


@dataclass(frozen=True)
class _Events:
    events: tuple[_Item, ...]
    current_rev: int


_PAGE_DECODER = msgspec.json.Decoder(_Page)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)


class PlatformStore:
    """Implements `foxtailseam.store.StoreClient`.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, address: str, clock: Clock):
        self.address = address
        self.calls = 0
        settings = PoolSettings(
            address,
            _CONNECTIONS,
            _CONNECT_TIMEOUT,
            _SILENCE_TIMEOUT,
            probe_interval=_PROBE_INTERVAL,
        )
        self._pool = ConnectionPool(settings, clock)

    async def list_items(self) -> Listing | StoreFailure:
        """Read every key, page by page."""
        items: list[Item] = []
        first_revision = 0
        query = {"path_prefix": ""}
        for _ in range(_MAX_PAGES):
            found = await self._get("/-/kv-range", query, _READ_TIMEOUT)
            if isinstance(found, StoreFailure):
                return found
            if found.status != _OK:
                return StoreFailure(str(found.status))
            page = _decode(_PAGE_DECODER, found.body)
            if page is None:
                return StoreFailure("malformed")
            first_revision = first_revision or page.current_rev
            items.extend(Item(i.key, _value(i.value), i.revision) for i in page.items)
            if not page.has_more or not page.items:
                return Listing(tuple(items), first_revision)
            query["after"] = page.items[-1].key
        return StoreFailure("too many pages")

    async def watch(
        self, after: int, wait: timedelta
    ) -> WatchResult | HistoryGone | StoreFailure:
        """Wait for changes after a revision."""
        wait_ms = int(wait.total_seconds() * 1000)
        query = {"path_prefix": "", "after": after, "wait_ms": wait_ms}
        found = await self._get("/-/kv-watch", query, wait + _READ_TIMEOUT)
        if isinstance(found, StoreFailure):
            return found
        if found.status == _GONE:
            return HistoryGone()
        if found.status != _OK:
            return StoreFailure(str(found.status))
        events = _decode(_EVENTS_DECODER, found.body)
        if events is None:
            return StoreFailure("malformed")
        return WatchResult(tuple(map(_change, events.events)), events.current_rev)

    def close(self) -> None:
        """Close all connections."""
        self._pool.abort()

    async def _get(
        self, path: str, query: dict[str, object], timeout: timedelta
    ) -> HttpResponse | StoreFailure:
        self.calls += 1
        target = f"{path}?{urlencode(query, safe='/')}".encode()
        headers = ((b"Host", self.address.encode()),)
        payload = render_request_head(b"GET", target, headers, b"") + b"\r\n"
        match await self._pool.request(payload, timeout):
            case Received(response=response):
                return response
            case ExchangeFailure(kind=kind):
                return StoreFailure(kind)


def _decode(decoder: msgspec.json.Decoder, body: bytes) -> _Page | _Events | None:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _change(found: _Item) -> Change:
    if found.removed:
        return Removal(found.key, found.revision)
    return Item(found.key, _value(found.value), found.revision)


def _value(text: str) -> bytes:
    """Return the bytes of a value; empty, and so no valid value, if malformed."""
    try:
        return b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b""

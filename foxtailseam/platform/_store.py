"""Client of the platform's metadata store, which is the configuration service."""

import binascii
from base64 import b64decode
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TypeVar
from urllib.parse import urlencode

from result import Err, Ok

from foxtailseam.clocks import Clock
from foxtailseam.http import (
    ConnectionPool,
    ExchangeFailure,
    FailureKind,
    HttpResponse,
    PoolSettings,
    Received,
    find_header,
    render_request_head,
)
from foxtailseam.store import (
    IMPLAUSIBLE_REVISION,
    MAX_REVISION_STEP,
    UNCONFIRMED_ERA,
    Change,
    HistoryCompacted,
    Item,
    Listing,
    Position,
    PositionCheck,
    Removal,
    StoreFailure,
    WatchResult,
    second_greatest,
)
from foxtailseam.utils import DocumentDecoder, WholeNumber, shorten

T = TypeVar("T")

_OK = 200
_GONE = 410
# Response header that rises by one when the store comes back from an older copy.
_ERA_HEADER = b"store-era"
_MAX_ERA_DIGITS = 18
# Query for keys that nobody writes: its response is short, and names era and revision.
_PROBE_QUERY = {"path_prefix": "-"}
# Longer than the slowest usual response; the store has no time limit of its own.
_READ_TIMEOUT = timedelta(seconds=1.5)
# Time after the end of a watch's wait until it counts as unanswered.
_WATCH_MARGIN = timedelta(seconds=1.2)
_CONNECT_TIMEOUT = timedelta(seconds=1)
# A connection is closed when sent data stays unacknowledged for this long.
_UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=2)
_PROBE_INTERVAL = timedelta(seconds=1)
# A watch holds one connection; a listing may use another at the same time.
_MAX_CONNECTIONS = 3
_MAX_PAGES = 2_000
# Limit of the memory that the items of a listing take: their values as they are sent,
# and this much besides for each.
_MAX_LISTING_BYTES = 48 * 1024 * 1024
_ITEM_BYTES = 400
# Failures of an exchange that the same call is likely to meet again.
_LASTING_FAILURES = frozenset({FailureKind.TOO_LARGE, FailureKind.MALFORMED})
# Longest body that is decoded.
MAX_RESPONSE_BYTES = 67_108_864
# Characters of the reason why a response is unusable.
_MAX_REASON_LENGTH = 100


@dataclass(frozen=True)
class _ItemDocument:
    key: str
    revision: WholeNumber
    value: str = ""
    # Only in events: the key was removed at this revision.
    removed: bool = False


@dataclass(frozen=True)
class _Page:
    items: tuple[_ItemDocument, ...]
    current_rev: WholeNumber
    has_more: bool = False


@dataclass(frozen=True)
class _Events:
    events: tuple[_ItemDocument, ...]
    current_rev: WholeNumber


_PAGE_DECODER = DocumentDecoder(_Page, MAX_RESPONSE_BYTES)
_EVENTS_DECODER = DocumentDecoder(_Events, MAX_RESPONSE_BYTES)


class PlatformStore:
    """Client of the store; implements `foxtailseam.store.StoreClient`.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    clock : Clock
        Source of monotonic time.
    is_used : callable
        Returns whether this system uses a key; what others keep under further ones is
        left out of listings and watches.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        is_used: Callable[[str], bool] = lambda key: True,
    ):
        self.address = address
        self.is_used = is_used
        self.calls = 0
        self._check = PositionCheck()
        # Last response to `_PROBE_QUERY` in the listing in progress.
        self._probe: HttpResponse | None = None
        # Position of the last watch, if it timed out.
        self._timed_out_after: Position | None = None
        # Revision that the last answer has named.
        self._last_revision = 0
        settings = PoolSettings(
            address,
            _MAX_CONNECTIONS,
            _CONNECT_TIMEOUT,
            _UNACKNOWLEDGED_TIMEOUT,
            probe_interval=_PROBE_INTERVAL,
        )
        self._pool = ConnectionPool(settings, clock)

    async def list_items(self) -> Listing | StoreFailure:
        """Return all existing keys, read page by page.

        The position is the lower one of those that two answers name.
        """
        items: list[Item] = []
        size = 0
        first: Position | None = None
        query = {"path_prefix": ""}
        self._probe = None
        for _ in range(_MAX_PAGES):
            response = await self._get("/-/kv-range", query, _READ_TIMEOUT)
            if isinstance(response, StoreFailure):
                return response
            if response.status != _OK:
                return StoreFailure(str(response.status))
            page = _decode(_PAGE_DECODER, response.body)
            if isinstance(page, StoreFailure):
                return page
            problem = self._check_page(page, query.get("after"))
            if problem:
                return StoreFailure(problem)
            era = self._check.era
            first = first or Position(era, page.current_rev)
            if first.era != era:
                # The pages are of different copies of the data.
                return StoreFailure("era changed")
            used = [item for item in page.items if self.is_used(item.key)]
            size += sum(len(item.value) + _ITEM_BYTES for item in used)
            if size > _MAX_LISTING_BYTES:
                return StoreFailure(FailureKind.TOO_LARGE, would_repeat=True)
            items.extend(
                Item(i.key, _decode_value(i.value), Position(era, i.revision))
                for i in used
            )
            if not page.has_more:
                is_only_page = "after" not in query
                second = page.current_rev
                if is_only_page:
                    second = await self._probe_revision(page)
                self._last_revision = min(first.revision, second)
                return Listing(tuple(items), Position(era, self._last_revision))
            query["after"] = page.items[-1].key
        return StoreFailure("too many pages")

    async def watch(
        self, after: Position, wait: timedelta
    ) -> WatchResult | HistoryCompacted | StoreFailure:
        """Wait for changes and return them.

        Parameters
        ----------
        after : Position
            Position after which changes are returned.
        wait : timedelta
            How long the store may wait for a change.
        """
        wait_ms = int(wait.total_seconds() * 1000)
        query = {"path_prefix": "", "after": after.revision, "wait_ms": wait_ms}
        response = await self._get("/-/kv-watch", query, wait + _WATCH_MARGIN)
        if isinstance(response, StoreFailure):
            return self._mark_repeated_timeout(response, after)
        self._timed_out_after = None
        if response.status == _GONE:
            return HistoryCompacted()
        if response.status != _OK:
            return StoreFailure(str(response.status))
        events = _decode(_EVENTS_DECODER, response.body)
        if isinstance(events, StoreFailure):
            return events
        problem = self._check.check_revision(events.current_rev, after.revision)
        before, self._last_revision = self._last_revision, events.current_rev
        if problem:
            return StoreFailure(problem)
        if _has_implausible_item(events.events, events.current_rev):
            return StoreFailure(IMPLAUSIBLE_REVISION, would_repeat=True)
        # Without a change up to it, a revision has to be named by two answers.
        newest = max((event.revision for event in events.events), default=0)
        revision = max(after.revision, newest, min(before, events.current_rev))
        era = self._check.era
        changes = tuple(
            _to_change(event, era) for event in events.events if self.is_used(event.key)
        )
        return WatchResult(changes, Position(era, revision))

    def _mark_repeated_timeout(
        self, failure: StoreFailure, after: Position
    ) -> StoreFailure:
        """Return the failure of a watch, as lasting if it has timed out before.

        Its response may take longer than the timeout each time.
        """
        has_timed_out = failure.reason == FailureKind.TIMEOUT
        is_repeated = has_timed_out and after == self._timed_out_after
        self._timed_out_after = after if has_timed_out else None
        return replace(failure, would_repeat=True) if is_repeated else failure

    def close(self) -> None:
        """Close all connections and abort the calls in progress."""
        self._pool.abort()

    async def _get(
        self, path: str, query: dict[str, object], timeout: timedelta
    ) -> HttpResponse | StoreFailure:
        response = await self._exchange(path, query, timeout)
        if isinstance(response, StoreFailure):
            return response
        problem = self._read_era(response)
        if problem == UNCONFIRMED_ERA:
            problem = await self._confirm_era(response)
        return StoreFailure(problem) if problem else response

    async def _confirm_era(self, response: HttpResponse) -> str:
        """Ask for the era of a response once more.

        Returns why the response is unusable, if it is.
        """
        probe = await self._exchange("/-/kv-range", _PROBE_QUERY, _READ_TIMEOUT)
        if isinstance(probe, StoreFailure):
            return UNCONFIRMED_ERA
        self._probe = probe
        problem = self._read_era(probe)
        named = [find_header(item.headers, _ERA_HEADER) for item in (response, probe)]
        return problem if named[0] == named[1] else UNCONFIRMED_ERA

    async def _probe_revision(self, page: _Page) -> int:
        """Return the revision of the store that an answer beside a page names.

        Without such an answer, that of the newest item is known.
        """
        probe = self._probe
        if probe is None:
            probe = await self._get("/-/kv-range", _PROBE_QUERY, _READ_TIMEOUT)
        if isinstance(probe, HttpResponse) and probe.status == _OK:
            document = _decode(_PAGE_DECODER, probe.body)
            if isinstance(document, _Page):
                return document.current_rev
        return max((item.revision for item in page.items), default=0)

    async def _exchange(
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
                return StoreFailure(kind, would_repeat=kind in _LASTING_FAILURES)

    def _read_era(self, response: HttpResponse) -> str:
        """Keep the era of a response; return why the response is unusable, if it is.

        A response that names no era counts as of the era seen before.
        """
        text = find_header(response.headers, _ERA_HEADER)
        if text is None:
            return ""
        if not text.isdigit() or len(text) > _MAX_ERA_DIGITS:
            return "malformed era"
        return self._check.check_era(int(text))

    def _check_page(self, page: _Page, after: str | None) -> str:
        """Return why a page of a listing is unusable, if it is."""
        if page.has_more and (not page.items or page.items[-1].key == after):
            return "no next page"
        if _has_implausible_item(page.items, page.current_rev):
            return IMPLAUSIBLE_REVISION
        known = second_greatest(item.revision for item in page.items)
        return self._check.check_revision(page.current_rev, known)


def _has_implausible_item(items: Iterable[_ItemDocument], revision: int) -> bool:
    """Return whether an item is far newer than the service says to be."""
    newest = max((item.revision for item in items), default=0)
    return newest > revision + MAX_REVISION_STEP


def _decode(decoder: DocumentDecoder[T], body: bytes) -> T | StoreFailure:
    match decoder.decode(body, "malformed response"):
        case Ok(document):
            return document
        case Err(problem):
            reason = shorten(str(problem), _MAX_REASON_LENGTH)
            return StoreFailure(reason, would_repeat=True)


def _to_change(event: _ItemDocument, era: int) -> Change:
    position = Position(era, event.revision)
    if event.removed:
        return Removal(event.key, position)
    return Item(event.key, _decode_value(event.value), position)


def _decode_value(text: str) -> bytes:
    """Decode a Base64 value.

    Returns empty bytes for a malformed value; all decoders of values reject these.
    """
    try:
        return b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b""

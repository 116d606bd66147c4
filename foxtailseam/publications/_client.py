"""Client of the configuration service: it reads and watches, and never writes."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from result import Err, Ok, Result

from foxtailseam.clocks import Clock
from foxtailseam.http import (
    ConnectionPool,
    ExchangeFailure,
    HttpResponse,
    PoolSettings,
    Received,
    find_header,
    render_request_head,
)

REVISION_HEADER = b"x-revision"
NOT_CHANGED = 304
OK = 200
# A watch and a read of each value.
CONNECTIONS = 6
# Sent data that stays unacknowledged for so long ends its connection.
SILENCE_TIMEOUT = timedelta(seconds=2)


class PublicationName(StrEnum):
    """The values that the platform publishes."""

    RULES = "rules"
    SNAPSHOTS = "snapshots"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class Publication:
    """One published value.

    Parameters
    ----------
    name : PublicationName
        Which value.
    number : int
        Revision that the service gives; rises with each hand-over.
    text : str
        The value.
    """

    name: PublicationName
    number: int
    text: str


@dataclass(frozen=True, slots=True)
class PlatformError:
    """A read that failed, and why."""

    name: PublicationName
    detail: str


class PlatformClient:
    """Reads published values over HTTP; used from one event loop.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the configuration service.
    clock : Clock
        Source of monotonic time.
    timeout : timedelta
        Bound on one read; a watch waits that much longer than asked.
    """

    def __init__(
        self, address: str, clock: Clock, timeout: timedelta = timedelta(seconds=1)
    ):
        self.address = address
        self.clock = clock
        self.timeout = timeout
        settings = PoolSettings(address, CONNECTIONS, timeout, SILENCE_TIMEOUT)
        self._pool = ConnectionPool(settings, clock)

    @property
    def opened_connections(self) -> int:
        """Return how many connections were opened so far."""
        return self._pool.opened_connections

    async def read(
        self, name: PublicationName, after: int = 0, wait: timedelta = timedelta()
    ) -> Result[Publication | None, PlatformError]:
        """Read a value, or watch for a newer one.

        Parameters
        ----------
        name : PublicationName
            Which value.
        after : int
            Revision already known; the value is returned only if it differs.
        wait : timedelta
            How long the service may hold the call until there is a newer one.

        Returns
        -------
        Result[Publication or None, PlatformError]
            None if there is nothing newer.
        """
        target = f"/values/{name}?after={after}&wait={wait.total_seconds():g}"
        headers = ((b"Host", self.address.encode()),)
        head = render_request_head(b"GET", target.encode(), headers, b"")
        match await self._pool.request(head + b"\r\n", self.timeout + wait):
            case Received(response=response):
                return _read_reply(name, response)
            case ExchangeFailure(kind=kind):
                return Err(PlatformError(name, kind))

    def close(self) -> None:
        """Close all connections."""
        self._pool.abort()


def _read_reply(
    name: PublicationName, reply: HttpResponse
) -> Result[Publication | None, PlatformError]:
    if reply.status == NOT_CHANGED:
        return Ok(None)
    number = find_header(reply.headers, REVISION_HEADER) or b""
    if reply.status != OK or not number.isdigit():
        return Err(PlatformError(name, f"status {reply.status}"))
    return Ok(Publication(name, int(number), reply.body.decode("utf-8", "replace")))

"""Client of the configuration service; it reads and watches but never writes."""

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
# So many digits fit into 64 bits; a longer number could not be sent to peers.
MAX_REVISION_DIGITS = 18
NOT_MODIFIED = 304
OK = 200
# One watch and one read for each of the three values.
MAX_CONNECTIONS = 6
# A connection is closed if sent data stays unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=2)


class PublicationName(StrEnum):
    """Names of the values that the platform publishes."""

    RULES = "rules"
    SNAPSHOTS = "snapshots"
    HOSTS = "hosts"


@dataclass(frozen=True, slots=True)
class Publication:
    """One published value.

    Parameters
    ----------
    name : PublicationName
        Name of the value.
    number : int
        Revision number assigned by the service; increases with each publication.
    text : str
        The value as published.
    """

    name: PublicationName
    number: int
    text: str


@dataclass(frozen=True, slots=True)
class PlatformError:
    """A failed read.

    Parameters
    ----------
    name : PublicationName
        Name of the value.
    detail : str
        Cause of the failure: a `FailureKind` or ``status`` and an HTTP status code.
    """

    name: PublicationName
    detail: str


class PlatformClient:
    """Reads published values over HTTP; must be used from one event loop.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the configuration service.
    clock : Clock
        Source of monotonic time.
    timeout : timedelta
        Timeout of one read; added to the wait of a watch.
    """

    def __init__(
        self, address: str, clock: Clock, timeout: timedelta = timedelta(seconds=1)
    ):
        self.address = address
        self.clock = clock
        self.timeout = timeout
        settings = PoolSettings(
            address, MAX_CONNECTIONS, timeout, UNACKNOWLEDGED_TIMEOUT
        )
        self._pool = ConnectionPool(settings, clock)

    @property
    def opened_connections(self) -> int:
        """Return the number of connections opened so far."""
        return self._pool.opened_connections

    async def read(
        self, name: PublicationName, after: int = 0, wait: timedelta = timedelta()
    ) -> Result[Publication | None, PlatformError]:
        """Read a value, or watch for a newer one.

        Parameters
        ----------
        name : PublicationName
            Name of the value.
        after : int
            Known revision number, 0 for none; the value is returned only if its
            number differs.
        wait : timedelta
            How long the service may hold the request until a newer value is
            published; 0 for a plain read.

        Returns
        -------
        Result[Publication or None, PlatformError]
            The value, None if there is no newer one, or the error.
        """
        target = f"/values/{name}?after={after}&wait={wait.total_seconds():g}"
        headers = ((b"Host", self.address.encode()),)
        head = render_request_head(b"GET", target.encode(), headers, b"")
        match await self._pool.request(head + b"\r\n", self.timeout + wait):
            case Received(response=response):
                return _parse_response(name, response)
            case ExchangeFailure(kind=kind):
                return Err(PlatformError(name, kind))

    def close(self) -> None:
        """Close all connections."""
        self._pool.abort()


def _parse_response(
    name: PublicationName, response: HttpResponse
) -> Result[Publication | None, PlatformError]:
    if response.status == NOT_MODIFIED:
        return Ok(None)
    number = find_header(response.headers, REVISION_HEADER) or b""
    is_number = number.isdigit() and len(number) <= MAX_REVISION_DIGITS
    if response.status != OK or not is_number:
        return Err(PlatformError(name, f"status {response.status}"))
    return Ok(Publication(name, int(number), response.body.decode("utf-8", "replace")))

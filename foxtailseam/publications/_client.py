"""Client of the configuration service: it reads and watches, and never writes."""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

import urllib3
from result import Err, Ok, Result

REVISION_HEADER = "X-Revision"
NOT_CHANGED = 304
OK = 200


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
    """Reads published values over HTTP; thread-safe.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the configuration service.
    timeout : timedelta
        Bound on one read; a watch waits that much longer than asked.
    """

    def __init__(self, address: str, timeout: timedelta = timedelta(seconds=1)):
        self.address = address
        self.timeout = timeout
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=4)

    def read(
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
        url = f"/values/{name}?after={after}&wait={wait.total_seconds():g}"
        timeout = urllib3.Timeout(
            connect=self.timeout.total_seconds(),
            read=(self.timeout + wait).total_seconds(),
        )
        try:
            reply = self._pool.urlopen("GET", url, retries=False, timeout=timeout)
        except urllib3.exceptions.HTTPError as error:
            return Err(PlatformError(name, type(error).__name__))
        if reply.status == NOT_CHANGED:
            return Ok(None)
        number = reply.headers.get(REVISION_HEADER, "")
        if reply.status != OK or not number.isdigit():
            return Err(PlatformError(name, f"status {reply.status}"))
        text = reply.data.decode("utf-8", "replace")
        return Ok(Publication(name, int(number), text))

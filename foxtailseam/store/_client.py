"""Client interface of the configuration service, and the results of its reads."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from foxtailseam.store._replica import Change, Listing


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Changes after the requested revision.

    Parameters
    ----------
    changes : tuple of Change
        Changes in the order of their revisions; empty if there were none in time.
    revision : int
        Revision from which to continue the watch.
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The service no longer has the changes since the requested revision.

    The caller has to list all keys again.
    """


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """The service gave no usable response.

    Parameters
    ----------
    reason : str
        HTTP status code, kind of exchange failure, or defect of the response.
    """

    reason: str


class StoreClient(Protocol):
    """Client that reads the configuration service."""

    async def list_items(self) -> Listing | StoreFailure:
        """Return all existing keys."""

    async def watch(
        self, after: int, wait: timedelta
    ) -> WatchResult | HistoryCompacted | StoreFailure:
        """Wait for changes and return them.

        Parameters
        ----------
        after : int
            Revision after which changes are returned.
        wait : timedelta
            How long the service may wait for a change.
        """

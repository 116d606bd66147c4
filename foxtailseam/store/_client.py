"""Client interface of the configuration service, and the results of its reads."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from foxtailseam.store._position import Position
from foxtailseam.store._replica import Change, Listing


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Changes after the requested position.

    Parameters
    ----------
    changes : tuple of Change
        Changes in the order of their positions; empty if there were none in time.
    position : Position
        Position from which to continue the watch. If it is of a later era than the
        watch, changes before it may be missing.
    """

    changes: tuple[Change, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The service does not have the changes since the requested position.

    The caller has to list all keys again.
    """


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """The service gave no usable response.

    Parameters
    ----------
    reason : str
        HTTP status code, kind of exchange failure, or defect of the response.
    would_repeat : bool
        Whether the same read is likely to fail again, for example because its response
        is too large.
    """

    reason: str
    would_repeat: bool = False


class StoreClient(Protocol):
    """Client that reads the configuration service."""

    async def list_items(self) -> Listing | StoreFailure:
        """Return all existing keys."""

    async def watch(
        self, after: Position, wait: timedelta
    ) -> WatchResult | HistoryCompacted | StoreFailure:
        """Wait for changes and return them.

        Parameters
        ----------
        after : Position
            Position after which changes are returned.
        wait : timedelta
            How long the service may wait for a change.
        """

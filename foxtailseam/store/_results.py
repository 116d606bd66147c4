"""What a read of the configuration service can come to."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from foxtailseam.store._replica import Change, Listing


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Changes after the revision that was asked for.

    Parameters
    ----------
    changes : tuple of Change
        In the order of their revisions; may be empty.
    revision : int
        Continue from here.
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The service no longer holds the changes since that revision."""


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """The service gave no usable answer.

    Parameters
    ----------
    reason : str
        Status code or kind of loss.
    """

    reason: str


class StoreClient(Protocol):
    """Reads of the configuration service."""

    async def list_items(self) -> Listing | StoreFailure:
        """Read every key."""

    async def watch(
        self, after: int, wait: timedelta
    ) -> WatchResult | HistoryCompacted | StoreFailure:
        """Wait for changes after a revision."""

"""What the platform's configuration service holds, read and kept level."""

from foxtailseam.store._follower import (
    FollowerSettings,
    FollowerState,
    StoreFollower,
)
from foxtailseam.store._replica import Change, Item, Listing, Removal, StoreReplica
from foxtailseam.store._results import (
    HistoryCompacted,
    StoreClient,
    StoreFailure,
    WatchResult,
)

__all__ = [
    "Change",
    "FollowerSettings",
    "FollowerState",
    "HistoryCompacted",
    "Item",
    "Listing",
    "Removal",
    "StoreClient",
    "StoreFailure",
    "StoreFollower",
    "StoreReplica",
    "WatchResult",
]

"""Client-side replica of the configuration service, kept in sync by watching it."""

from foxtailseam.store._client import (
    HistoryCompacted,
    StoreClient,
    StoreFailure,
    WatchResult,
)
from foxtailseam.store._follower import (
    FollowerSettings,
    FollowerState,
    ReadFailure,
    StoreFollower,
)
from foxtailseam.store._position import START, Position
from foxtailseam.store._position_check import (
    IMPLAUSIBLE_REVISION,
    MAX_REVISION_STEP,
    UNCONFIRMED_ERA,
    PositionCheck,
    second_greatest,
)
from foxtailseam.store._replica import Change, Item, Listing, Removal, StoreReplica

__all__ = [
    "START",
    "Change",
    "FollowerSettings",
    "FollowerState",
    "HistoryCompacted",
    "IMPLAUSIBLE_REVISION",
    "Item",
    "Listing",
    "MAX_REVISION_STEP",
    "Position",
    "PositionCheck",
    "ReadFailure",
    "Removal",
    "StoreClient",
    "StoreFailure",
    "StoreFollower",
    "StoreReplica",
    "UNCONFIRMED_ERA",
    "WatchResult",
    "second_greatest",
]

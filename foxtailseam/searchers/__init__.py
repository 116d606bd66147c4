"""Client side of the searchers: connections, states, slots, hedges and retries."""

from foxtailseam.searchers._attempt_results import (
    Answered,
    AttemptResult,
    Broken,
    Mismatched,
    NotSent,
    Shed,
    TimedOut,
    VersionGone,
)
from foxtailseam.searchers._budget import RateLimiter, RatioBudget
from foxtailseam.searchers._client import AttemptRequest, SearcherClient
from foxtailseam.searchers._controller import SearcherController
from foxtailseam.searchers._dispatcher import SubRequestDispatcher
from foxtailseam.searchers._latency import LatencyWindow
from foxtailseam.searchers._leaving import LeavingNotice, LeavingSearchers
from foxtailseam.searchers._request import ANY_VERSION, BatchProgress, ShardRequest
from foxtailseam.searchers._searcher import Searcher
from foxtailseam.searchers._state import (
    SearcherEvent,
    SearcherState,
    SearcherStateMachine,
)

__all__ = [
    "ANY_VERSION",
    "Answered",
    "AttemptRequest",
    "AttemptResult",
    "BatchProgress",
    "Broken",
    "LatencyWindow",
    "LeavingNotice",
    "LeavingSearchers",
    "Mismatched",
    "NotSent",
    "RateLimiter",
    "RatioBudget",
    "Searcher",
    "SearcherClient",
    "SearcherController",
    "SearcherEvent",
    "SearcherState",
    "SearcherStateMachine",
    "ShardRequest",
    "Shed",
    "SubRequestDispatcher",
    "TimedOut",
    "VersionGone",
]

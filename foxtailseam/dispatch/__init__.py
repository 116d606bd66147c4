"""Dispatch of requests: searcher selection, queueing, hedging, retries, merging.

The package performs no I/O. Its decision functions depend only on their arguments
and on an injected clock; the caller supplies connections and timers.
"""

from foxtailseam.dispatch._attempts import CallPlan
from foxtailseam.dispatch._budget import BudgetSettings, ExtraLoadBudget
from foxtailseam.dispatch._call import ServiceCall
from foxtailseam.dispatch._decision import QueryDecision, QueryProgress, decide_query
from foxtailseam.dispatch._dispatcher import Dispatcher
from foxtailseam.dispatch._gather import (
    GatherQuery,
    GatherResult,
    MergedAnswer,
    SendingStatistics,
)
from foxtailseam.dispatch._health import AttemptFailure, SearcherHealth
from foxtailseam.dispatch._hedging import HedgeInputs, hedge_delay, min_hedge_delay
from foxtailseam.dispatch._latency import (
    AnswerDelay,
    LatencyBaseline,
    ResponseTimes,
)
from foxtailseam.dispatch._query import NotAnswered, Query, QueryTimes
from foxtailseam.dispatch._results import (
    NOT_RUN_STATUSES,
    FailureReason,
    ServiceAnswer,
    ServiceFailure,
    ServiceResult,
)
from foxtailseam.dispatch._searcher import PendingExchange, Searcher, SearcherPool
from foxtailseam.dispatch._searcher_selection import Candidate, choose_searcher
from foxtailseam.dispatch._shard_selection import ShardEstimate, select_shards
from foxtailseam.dispatch._single import SingleQuery, SingleResult
from foxtailseam.dispatch._slowness_detector import SlownessMeasurement
from foxtailseam.dispatch._wait_queue import WaitQueue, clamp_retry_after, expected_wait
from foxtailseam.dispatch._wire_format import (
    MALFORMED_LIMIT,
    MALFORMED_PAUSE,
    AnswerMetadata,
    AnswerReader,
    RequestTemplate,
)

__all__ = [
    "MALFORMED_LIMIT",
    "MALFORMED_PAUSE",
    "NOT_RUN_STATUSES",
    "AnswerDelay",
    "AnswerMetadata",
    "AnswerReader",
    "AttemptFailure",
    "BudgetSettings",
    "CallPlan",
    "Candidate",
    "Dispatcher",
    "ExtraLoadBudget",
    "FailureReason",
    "GatherQuery",
    "GatherResult",
    "HedgeInputs",
    "LatencyBaseline",
    "MergedAnswer",
    "NotAnswered",
    "PendingExchange",
    "Query",
    "QueryDecision",
    "QueryProgress",
    "QueryTimes",
    "RequestTemplate",
    "ResponseTimes",
    "Searcher",
    "SearcherHealth",
    "SearcherPool",
    "SendingStatistics",
    "ServiceAnswer",
    "ServiceCall",
    "ServiceFailure",
    "ServiceResult",
    "ShardEstimate",
    "SingleQuery",
    "SingleResult",
    "WaitQueue",
    "SlownessMeasurement",
    "choose_searcher",
    "clamp_retry_after",
    "decide_query",
    "expected_wait",
    "hedge_delay",
    "min_hedge_delay",
    "select_shards",
]

"""Sends requests to searchers: choice, waiting, hedges, retries, partial answers.

The decisions take the clock and values and return values; connections come from
outside.
"""

from foxtailseam.dispatch._budget import BudgetSettings, ExtraBudget
from foxtailseam.dispatch._call import CallPlan, ServiceCall
from foxtailseam.dispatch._choice import Candidate, choose
from foxtailseam.dispatch._dispatcher import Dispatcher, TimerHandle, Timers
from foxtailseam.dispatch._format import AnswerMetadata, AnswerReader, RequestTemplate
from foxtailseam.dispatch._gather import GatherQuery, GatherResult, MergedAnswer
from foxtailseam.dispatch._health import Failure, SearcherHealth
from foxtailseam.dispatch._hedging import HedgeInputs, hedge_delay, least_hedge_delay
from foxtailseam.dispatch._latency import LatencyBaseline, ResponseTimes
from foxtailseam.dispatch._line import WaitingLine, expected_wait, retry_after
from foxtailseam.dispatch._partial import PartialDecision, Progress, decide
from foxtailseam.dispatch._placement import Prospect, place
from foxtailseam.dispatch._query import NotAnswered, Query, QueryTimes
from foxtailseam.dispatch._results import (
    FailureReason,
    ServiceAnswer,
    ServiceFailure,
    ServiceResult,
)
from foxtailseam.dispatch._searcher import PendingExchange, Searcher, SearcherLink
from foxtailseam.dispatch._single import SingleQuery, SingleResult

__all__ = [
    "AnswerMetadata",
    "AnswerReader",
    "LatencyBaseline",
    "BudgetSettings",
    "CallPlan",
    "Candidate",
    "Dispatcher",
    "ExtraBudget",
    "Failure",
    "FailureReason",
    "GatherQuery",
    "GatherResult",
    "HedgeInputs",
    "MergedAnswer",
    "NotAnswered",
    "PartialDecision",
    "PendingExchange",
    "Progress",
    "Prospect",
    "Query",
    "QueryTimes",
    "RequestTemplate",
    "ResponseTimes",
    "Searcher",
    "SearcherHealth",
    "SearcherLink",
    "ServiceAnswer",
    "ServiceCall",
    "ServiceFailure",
    "ServiceResult",
    "SingleQuery",
    "SingleResult",
    "TimerHandle",
    "Timers",
    "WaitingLine",
    "choose",
    "decide",
    "expected_wait",
    "hedge_delay",
    "least_hedge_delay",
    "place",
    "retry_after",
]

"""Conditions of searchers: what they report of themselves, and what hosts find out.

A searcher may name a rate limit, say that it is leaving, or ask for a pause. Hosts also
tell one another which searchers they have found to be slow. The values of this package
merge in any order and any number of times with the same result, so hosts can relay them
by gossip.
"""

from foxtailseam.conditions._model import (
    MAX_PAUSE,
    Condition,
    Leaving,
    Pause,
    RateLimit,
    SearcherConditions,
    round_rate,
)
from foxtailseam.conditions._notices import (
    ConditionNotices,
    LeavingNotice,
    LimitNotice,
    PauseNotice,
    SlownessNotice,
)
from foxtailseam.conditions._registry import ConditionRegistry
from foxtailseam.conditions._slowness import (
    MAX_SLOW_FACTOR,
    MIN_SLOW_FACTOR,
    REPORT_SECONDS,
    Slowness,
    SlownessEstimate,
    SlownessReport,
)

__all__ = [
    "MAX_PAUSE",
    "MAX_SLOW_FACTOR",
    "MIN_SLOW_FACTOR",
    "REPORT_SECONDS",
    "Condition",
    "ConditionNotices",
    "ConditionRegistry",
    "Leaving",
    "LeavingNotice",
    "LimitNotice",
    "Pause",
    "PauseNotice",
    "RateLimit",
    "SearcherConditions",
    "Slowness",
    "SlownessEstimate",
    "SlownessNotice",
    "SlownessReport",
    "round_rate",
]

"""Conditions that searchers report about themselves in their responses.

A searcher may name a rate limit, say that it is leaving, or ask for a pause. The values
of this package merge in any order and any number of times with the same result, so
hosts can relay them by gossip.
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
)
from foxtailseam.conditions._registry import ConditionRegistry

__all__ = [
    "MAX_PAUSE",
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
    "round_rate",
]

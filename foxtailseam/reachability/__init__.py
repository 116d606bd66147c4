"""Whether this host reaches searchers at all, apart from the health of each one."""

from foxtailseam.reachability._contacts import ContactTracker
from foxtailseam.reachability._links import (
    MIN_FAILING_SEARCHERS,
    MIN_SILENCE_SECONDS,
    LinkChange,
    LinkMonitor,
    ProbeTarget,
)
from foxtailseam.reachability._verdict import LinkEvidence, LinkState, judge_links

__all__ = [
    "MIN_FAILING_SEARCHERS",
    "MIN_SILENCE_SECONDS",
    "ContactTracker",
    "LinkChange",
    "LinkEvidence",
    "LinkMonitor",
    "LinkState",
    "ProbeTarget",
    "judge_links",
]
